/* Commands, results and snapshot of a cell's log.  The codec rejects strings above their bound. */

const CELL_NAME_BYTES = 64;
const CELL_REASON_BYTES = 256;
const CELL_PAYLOAD_BYTES = 8192;
const CELL_CHECKPOINT_BYTES = 256;
const CELL_ANSWER_BYTES = 65536;
const CELL_MAX_COMMANDS = 4096;
const CELL_MAX_CANCEL = 16384;
const CELL_MAX_REPLICAS = 1024;
const CELL_FAILED_WORKERS = 4;

typedef string cell_name<CELL_NAME_BYTES>;

enum cell_class
{
  CELL_URGENT = 1, /* service: replicas run until cancelled */
  CELL_BATCH = 2   /* job: tasks run to completion */
};

enum cell_task_state
{
  CELL_PENDING = 1,   /* waiting for placement */
  CELL_PLACED = 2,    /* epoch committed, start command not confirmed */
  CELL_RUNNING = 3,
  CELL_STOPPING = 4,  /* stop command not confirmed */
  CELL_OFFERED = 5,   /* offered to another cell; kept until its answer is committed */
  CELL_STANDBY = 6,   /* copy of a task that another cell owns */
  CELL_DONE = 7,
  CELL_FAILED = 8,
  CELL_CANCELLED = 9,
  CELL_MOVED = 10     /* now owned by another cell */
};

enum cell_stop_reason
{
  CELL_STOP_NONE = 0,
  CELL_STOP_PREEMPT = 1,   /* to place an urgent task */
  CELL_STOP_HARM = 2,      /* interference: slows down an urgent task */
  CELL_STOP_OVERSIZE = 3,  /* exceeds its declared size */
  CELL_STOP_PLAN = 4,      /* the plan was reduced */
  CELL_STOP_DRAIN = 5,     /* the data centre is out */
  CELL_STOP_CANCEL = 6,    /* the job was cancelled; the stop ends the task */
  CELL_STOP_REPLACED = 7,  /* a replacement replica runs elsewhere; the stop ends the task */
  CELL_STOP_WORKER = 8,    /* the worker is quarantined */
  CELL_STOP_CLOSED = 9     /* the cell epoch was closed; a standby copy may have been started */
};

struct cell_size
{
  unsigned int millicores;
  unsigned int memory_mb;
  unsigned int accelerators;
};

struct cell_job_spec
{
  cell_name customer;
  cell_name request_id;        /* a repeated submission returns the first answer */
  cell_name service;           /* service of urgent tasks, class of batch tasks */
  cell_class kind;
  cell_size size;              /* of one task */
  unsigned int replicas;       /* tasks of the job */
  unsigned int max_per_rack;   /* 0: no limit */
  unsigned hyper run_ms;       /* declared run time of a batch task */
  unsigned hyper deadline_ms;  /* after submission; 0: none */
  unsigned int checkpoint_ms;  /* declared time to write a checkpoint; 0: unsupported */
  bool repeat_elsewhere;       /* safe to run again in another cell */
  string payload<CELL_PAYLOAD_BYTES>; /* executed by the worker; opaque here */
};

/* A task as transferred between cells.  */
struct cell_transfer
{
  unsigned hyper from_cell;
  unsigned hyper from_epoch;   /* epoch of the sending cell */
  unsigned hyper job;
  unsigned hyper task;
  unsigned int index;
  unsigned hyper task_epoch;
  unsigned hyper progress_ms;
  string checkpoint<CELL_CHECKPOINT_BYTES>;
  hyper deadline_left_ms;      /* valid if spec.deadline_ms is set */
  bool cancelled;              /* the job was cancelled while the offer was open */
  cell_job_spec spec;
};

enum cell_command_kind
{
  CELL_SUBMIT = 1,
  CELL_CANCEL = 2,
  CELL_PLACE = 3,
  CELL_REPORT = 4,
  CELL_STOP = 5,
  CELL_LOST = 6,
  CELL_FAIL_JOB = 7,
  CELL_HANDOFF_OFFER = 8,     /* sender: offers a pending task to another cell */
  CELL_HANDOFF_ACCEPT = 9,    /* receiver: accepts the task */
  CELL_HANDOFF_REFUSE = 10,   /* receiver: will never accept this task at this epoch */
  CELL_HANDOFF_DONE = 11,     /* sender: the receiver has committed its acceptance */
  CELL_HANDOFF_ABORT = 12,    /* sender: the receiver has committed its refusal */
  CELL_REPLICA_ADD = 13,      /* receiver: creates a replacement of another cell's replica */
  CELL_REPLICA_REPLACED = 14, /* sender: the replacement runs; stop the old replica */
  CELL_STANDBY_PUT = 15,      /* standby cell: stores a standby copy or its newer checkpoint */
  CELL_STANDBY_START = 16,    /* standby cell: takes over all copies of a closed cell epoch */
  CELL_STANDBY_DROP = 17,     /* standby cell: the owner finished or cancelled the job */
  CELL_EPOCH_CLOSED = 18,     /* owner: the registry closed this cell's epoch */
  CELL_INTENT_BEGIN = 19,
  CELL_INTENT_FINISH = 20,
  CELL_STANDBY_SENT = 21      /* owner: committed before a standby copy is sent */
};

struct cell_cancel
{
  unsigned hyper jobs<CELL_MAX_CANCEL>;
};

struct cell_place
{
  unsigned hyper task;
  unsigned hyper epoch;       /* epoch read by the leader; the placement gets the next one */
  cell_name worker;
  unsigned hyper incarnation; /* of the worker */
};

enum cell_report_kind
{
  CELL_REPORT_RUNNING = 1,
  CELL_REPORT_CHECKPOINT = 2,
  CELL_REPORT_DONE = 3,
  CELL_REPORT_FAILED = 4,
  CELL_REPORT_STOPPED = 5,
  CELL_REPORT_REFUSED = 6     /* started too late or did not fit; did not run */
};

struct cell_report
{
  unsigned hyper task;
  unsigned hyper epoch;
  cell_report_kind kind;
  unsigned hyper progress_ms; /* work saved in the checkpoint */
  string checkpoint<CELL_CHECKPOINT_BYTES>;
  string reason<CELL_REASON_BYTES>;
  unsigned int backoff_ms;    /* failed: minimum delay before the next placement */
};

struct cell_stop
{
  unsigned hyper task;
  unsigned hyper epoch;
  cell_stop_reason reason;
};

struct cell_lost
{
  unsigned hyper task;
  unsigned hyper epoch;
};

struct cell_fail_job
{
  unsigned hyper job;
  string reason<CELL_REASON_BYTES>;
};

struct cell_offer
{
  unsigned hyper task;
  unsigned hyper epoch;
  unsigned hyper to_cell;
};

struct cell_handoff_end
{
  unsigned hyper task;
  unsigned hyper epoch;
};

struct cell_standby_start
{
  unsigned hyper cell;
  unsigned hyper closed_epoch;
  unsigned hyper closed_ago_ms; /* since the leader read the closing from the registry */
};

struct cell_standby_drop
{
  unsigned hyper job;
};

struct cell_epoch_closed
{
  unsigned hyper closed_epoch;
};

struct cell_intent_begin
{
  cell_name customer;
  cell_name key;
  unsigned hyper request_hash;
  unsigned hyper attempt;     /* random; a retry of the same begin has the same value */
};

struct cell_intent_finish
{
  cell_name customer;
  cell_name key;
  unsigned hyper attempt;     /* of the begin; a finish with another value is rejected */
  unsigned int outcome;       /* enum status_ran */
  unsigned int code;          /* HTTP status of the answer */
  opaque answer<CELL_ANSWER_BYTES>;
};

union cell_command switch (cell_command_kind kind)
{
case CELL_SUBMIT:
  cell_job_spec submit;
case CELL_CANCEL:
  cell_cancel cancel;
case CELL_PLACE:
  cell_place place;
case CELL_REPORT:
  cell_report report;
case CELL_STOP:
  cell_stop stop;
case CELL_LOST:
  cell_lost lost;
case CELL_FAIL_JOB:
  cell_fail_job fail_job;
case CELL_HANDOFF_OFFER:
case CELL_STANDBY_SENT:
  cell_offer offer;
case CELL_HANDOFF_ACCEPT:
case CELL_HANDOFF_REFUSE:
case CELL_REPLICA_ADD:
case CELL_STANDBY_PUT:
  cell_transfer transfer;
case CELL_HANDOFF_DONE:
case CELL_HANDOFF_ABORT:
case CELL_REPLICA_REPLACED:
  cell_handoff_end handoff_end;
case CELL_STANDBY_START:
  cell_standby_start standby_start;
case CELL_STANDBY_DROP:
  cell_standby_drop standby_drop;
case CELL_EPOCH_CLOSED:
  cell_epoch_closed epoch_closed;
case CELL_INTENT_BEGIN:
  cell_intent_begin intent_begin;
case CELL_INTENT_FINISH:
  cell_intent_finish intent_finish;
};

/* One log entry.  */
struct cell_batch
{
  hyper now_ms;               /* log time, see cell.h */
  cell_command commands<CELL_MAX_COMMANDS>;
};

enum cell_intent_state
{
  CELL_INTENT_NONE = 0,
  CELL_INTENT_NEW = 1,         /* the caller may run the request */
  CELL_INTENT_IN_PROGRESS = 2, /* begun, no outcome yet */
  CELL_INTENT_DONE = 3,        /* outcome, code and answer hold the recorded values */
  CELL_INTENT_KEY_REUSED = 4   /* the key belongs to a different request */
};

struct cell_result
{
  unsigned int status;         /* enum status_kind */
  unsigned hyper job;
  unsigned hyper task;         /* first task of a submission */
  unsigned hyper epoch;
  unsigned int count;          /* of cancelled jobs or started standby copies */
  bool repeated;               /* the same request was applied before */
  cell_intent_state intent;
  unsigned int outcome;
  unsigned int code;
  opaque answer<CELL_ANSWER_BYTES>;
  string message<CELL_REASON_BYTES>;
};

struct cell_results
{
  cell_result results<CELL_MAX_COMMANDS>;
};

/* Snapshot.  */
struct cell_task_image
{
  unsigned hyper id;
  unsigned int index;
  cell_task_state state;
  unsigned hyper epoch;
  cell_name worker;
  unsigned hyper incarnation;
  hyper state_ms;
  hyper not_before_ms;
  unsigned hyper progress_ms;
  string checkpoint<CELL_CHECKPOINT_BYTES>;
  cell_stop_reason stop;
  unsigned int failures;
  unsigned int evictions;
  cell_name failed_on<CELL_FAILED_WORKERS>;
  unsigned hyper other_cell;   /* OFFERED: receiver; STANDBY: owner; else cell of the copy or 0 */
  unsigned hyper other_epoch;  /* epoch of the owner's cell */
  unsigned hyper replaces;     /* task of another cell that this replica replaces */
};

struct cell_job_image
{
  unsigned hyper id;
  cell_job_spec spec;
  hyper submitted_ms;
  hyper deadline_ms;
  hyper finished_ms;
  bool cancelled;
  bool failed;                 /* cause in reason */
  string reason<CELL_REASON_BYTES>;
  cell_task_image tasks<>;
};

struct cell_intent_image
{
  cell_name customer;
  cell_name key;
  unsigned hyper request_hash;
  unsigned hyper attempt;
  hyper begun_ms;
  bool finished;
  unsigned int outcome;
  unsigned int code;
  opaque answer<CELL_ANSWER_BYTES>;
};

struct cell_handoff_image
{
  unsigned hyper task;
  unsigned hyper epoch;
  bool accepted;
  unsigned hyper local_task;   /* replacement created for the task */
  hyper at_ms;
};

struct cell_image
{
  unsigned int format;
  unsigned hyper cell;
  unsigned hyper epoch;
  unsigned hyper next_id;
  hyper now_ms;
  cell_job_image jobs<>;
  cell_intent_image intents<>;
  cell_handoff_image handoffs<>;
};
