/* Guards against fill-in tasks that stay at a share which their leader does not know of.  One
   worker runs a lasting task, whose users press it at times, and a fill-in task; it carries out
   some orders late.  */
#include "pacing.h"
#include "workflow_fixture.h"

#define TARGET_MS 20
#define TAIL_ALONE_MS 6
#define TAIL_PRESSED_MS 400 /* beside the fill-in task at its full share */
#define MILLICORES 2000
#define SAMPLE_MS 500
#define SETTLED_MS 25000 /* longer than an order may be late, and than a share takes to grow */
#define HARM_MS 4000
#define SERVING_JOB 1
#define FILL_JOB 2
#define MOST_LATE 8

/* Its fence was high enough when it came, and is not looked at again.  */
struct late_order
{
  int64_t due_ms; /* 0: carried out */
  uint32_t percent;
};

/* The worker.  */
struct model
{
  uint64_t fence;
  uint32_t share;
  bool pressed;
  unsigned lose;   /* next orders that get no answer */
  int64_t late_ms; /* after which these are carried out */
  bool refuses;    /* is unhealthy */
  struct late_order late[MOST_LATE];
  size_t late_count;
  size_t paces, holds; /* seen */
  int64_t sampled_ms;
  int64_t over_since_ms; /* the tail is over its target; 0: it isn't */
  int64_t worst_ms;      /* longest time over it */
};

static void
submit_image (struct fixture *f, uint64_t id, const char *image, uint32_t flags, uint32_t target_ms)
{
  workflow_step step = { .count = 1,
                         .millicores = MILLICORES,
                         .memory_mb = 100,
                         .estimate_ms = 100000,
                         .flags = flags,
                         .target_ms = target_ms,
                         .required_label = "",
                         .data_rack = "",
                         .image = (char *)(uintptr_t)image };
  workflow_command c = { .kind = WORKFLOW_SUBMIT };
  workflow_spec *spec = &c.workflow_command_u.spec;
  spec->id = id;
  spec->queue = "queue";
  spec->payload = "payload";
  spec->steps.steps_val = &step;
  spec->steps.steps_len = 1;
  assert_true (fixture_change (f, &c));
}

static uint32_t
tail_ms (const struct model *m)
{
  uint32_t pressed_ms = m->pressed ? (TAIL_PRESSED_MS - TAIL_ALONE_MS) * m->share / 100 : 0;
  return TAIL_ALONE_MS + pressed_ms;
}

static void
carry_out (struct model *m, uint64_t fence, uint32_t percent)
{
  if (fence < m->fence)
    return;
  m->fence = fence;
  m->share = percent;
}

static void
receive_pace (struct fixture *f, struct model *m, const struct worker_pace *o)
{
  enum worker_call_result result = WORKER_CALL_OK;
  if (m->lose > 0)
    {
      m->lose--;
      assert_true (m->late_count < MOST_LATE);
      m->late[m->late_count++]
          = (struct late_order){ .due_ms = f->now_ms + m->late_ms, .percent = o->percent };
      result = WORKER_CALL_UNKNOWN;
    }
  else if (o->to.fence < m->fence)
    result = WORKER_CALL_FENCED;
  else if (m->refuses)
    result = WORKER_CALL_REFUSED;
  else
    carry_out (m, o->to.fence, o->percent);
  const workflow_task_ref task = o->task;
  dispatcher_pace_answer (f->dispatcher, f->now_ms, "w1", &task, o->run, o->percent, result);
}

static void
answer_hold (struct fixture *f, struct model *m)
{
  struct reported_run running[2];
  for (size_t i = 0; i < 2; i++)
    {
      running[i] = fixture_running (&f->starts[i]);
      running[i].measure
          = f->starts[i].task.job == SERVING_JOB ? tail_ms (m) : MILLICORES * m->share / 100;
    }
  struct sent_hold h = fixture_last_hold (f, "w1");
  if (h.fence > m->fence)
    m->fence = h.fence;
  fixture_answer_hold (f, "w1", running, 2, NULL, 0);
}

static void
run_for (struct fixture *f, struct model *m, int64_t ms)
{
  for (int64_t end_ms = f->now_ms + ms; f->now_ms < end_ms;)
    {
      fixture_tick (f, 20);
      for (size_t i = 0; i < m->late_count; i++)
        if (m->late[i].due_ms > 0 && f->now_ms >= m->late[i].due_ms)
          {
            m->share = m->late[i].percent;
            m->late[i].due_ms = 0;
          }
      for (; m->paces < f->pace_count; m->paces++)
        receive_pace (f, m, &f->paces[m->paces]);
      if (f->hold_count > m->holds && f->now_ms - m->sampled_ms >= SAMPLE_MS)
        {
          m->holds = f->hold_count;
          m->sampled_ms = f->now_ms;
          answer_hold (f, m);
        }
      if (tail_ms (m) <= TARGET_MS)
        m->over_since_ms = 0;
      else if (m->over_since_ms == 0)
        m->over_since_ms = f->now_ms;
      if (m->over_since_ms > 0 && f->now_ms - m->over_since_ms > m->worst_ms)
        m->worst_ms = f->now_ms - m->over_since_ms;
    }
}

static void
begin (struct fixture *f, struct model *m)
{
  *m = (struct model){ .share = 100, .late_ms = 8000 };
  fixture_join (f, "w1", "10.0.0.1:1");
  submit_image (f, SERVING_JOB, "serve", WORKFLOW_STEP_LASTING, TARGET_MS);
  submit_image (f, FILL_JOB, "fill", WORKFLOW_STEP_FILL, 0);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 2);
  for (size_t i = 0; i < 2; i++)
    fixture_answer_start (f, &f->starts[i], WORKER_CALL_OK);
  run_for (f, m, 3000);
  assert_int_equal (m->share, 100);
}

static void
press_to_zero (struct fixture *f, struct model *m)
{
  m->pressed = true;
  for (int i = 0; i < 100 && m->share > 0; i++)
    run_for (f, m, 100);
  assert_int_equal (m->share, 0);
}

static void
change_leader (struct fixture *f)
{
  static uint64_t term = 8;
  struct status st;
  dispatcher_become_leader (f->dispatcher, f->now_ms, ++term * DISPATCHER_FENCES);
  dispatcher_set_authority (f->dispatcher, f->now_ms + 1000);
  struct worker_report r = fixture_worker (f, "w1", "10.0.0.1:1");
  assert_int_equal (dispatcher_report (f->dispatcher, f->now_ms, &r, &st), 0);
}

/* Guards against work that never goes on: the next leader took it that each run
   works at its full share, and a task that had been paced to 0 stayed there.  */
static void
test_the_next_leader_raises_a_share_that_it_did_not_set (void **state)
{
  struct fixture *f = *state;
  struct model m;
  begin (f, &m);
  press_to_zero (f, &m);
  m.pressed = false;
  change_leader (f);
  run_for (f, &m, SETTLED_MS);
  assert_int_equal (m.share, 100);
  size_t paces = f->pace_count;
  run_for (f, &m, SETTLED_MS);
  assert_int_equal (f->pace_count, paces);
}

/* A task that was paced down must not begin anew at its full share while the press lasts.  */
static void
test_the_next_leader_goes_on_from_the_share_in_use (void **state)
{
  struct fixture *f = *state;
  struct model m;
  begin (f, &m);
  press_to_zero (f, &m);
  m.worst_ms = 0;
  change_leader (f);
  for (int i = 0; i < 20; i++)
    {
      run_for (f, &m, 100);
      assert_true (m.share <= 2 * PACING_STEP_PERCENT);
    }
  run_for (f, &m, SETTLED_MS);
  assert_true (m.worst_ms < HARM_MS);
}

/* Orders of the earlier leader that come late must not undo those of the next one.  */
static void
test_a_late_order_of_an_earlier_leader_changes_nothing (void **state)
{
  struct fixture *f = *state;
  struct model m;
  begin (f, &m);
  m.lose = 1;
  m.pressed = true;
  run_for (f, &m, 1000);
  assert_int_equal (m.late_count, 1);
  m.pressed = false;
  change_leader (f);
  run_for (f, &m, SETTLED_MS);
  assert_int_equal (m.late[0].due_ms, 0);
  assert_int_equal (m.share, 100);
}

/* Guards against work that never goes on: an order that got no answer was carried out 8 s later,
   after newer ones, and the share that it had set was never changed.  */
static void
test_a_pace_order_that_is_carried_out_late_does_not_last (void **state)
{
  for (unsigned lost = 1; lost <= 3; lost++)
    {
      struct fixture *f = fixture_of_round (state, (int)lost - 1);
      struct model m;
      begin (f, &m);
      m.lose = lost;
      press_to_zero (f, &m);
      m.pressed = false;
      run_for (f, &m, SETTLED_MS);
      assert_int_equal (m.late_count, lost);
      assert_int_equal (m.late[lost - 1].due_ms, 0);
      assert_int_equal (m.share, 100);
    }
}

/* The same order the other way: a late share of over 0 must not harm a lasting task.  */
static void
test_a_late_share_does_not_harm_a_lasting_task (void **state)
{
  struct fixture *f = *state;
  struct model m;
  begin (f, &m);
  press_to_zero (f, &m);
  m.pressed = false;
  run_for (f, &m, 300);
  m.lose = 2; /* while the share grows */
  run_for (f, &m, 2500);
  m.pressed = true;
  m.worst_ms = 0;
  run_for (f, &m, SETTLED_MS);
  assert_true (m.worst_ms < HARM_MS);
}

/* An order that the worker refuses is not sent again with each tick.  */
static void
test_a_refused_pace_order_is_not_repeated_at_once (void **state)
{
  struct fixture *f = *state;
  struct model m;
  begin (f, &m);
  m.refuses = true;
  m.pressed = true;
  size_t paces = f->pace_count;
  run_for (f, &m, 2000);
  assert_true (f->pace_count > paces);
  assert_true (f->pace_count - paces <= 2000 / 300 + 1);
  m.refuses = false;
  run_for (f, &m, 3000);
  assert_true (m.share <= PACING_STEP_PERCENT);
}

#define TEST(name) cmocka_unit_test_setup_teardown (name, fixture_open, fixture_close)

int
main (void)
{
  const struct CMUnitTest tests[]
      = { TEST (test_the_next_leader_raises_a_share_that_it_did_not_set),
          TEST (test_the_next_leader_goes_on_from_the_share_in_use),
          TEST (test_a_late_order_of_an_earlier_leader_changes_nothing),
          TEST (test_a_pace_order_that_is_carried_out_late_does_not_last),
          TEST (test_a_late_share_does_not_harm_a_lasting_task),
          TEST (test_a_refused_pace_order_is_not_repeated_at_once) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
