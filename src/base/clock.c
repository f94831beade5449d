#include "clock.h"

#include <time.h>

#define MS_PER_S 1000
#define NS_PER_MS 1000000

static int64_t
read_clock (clockid_t id)
{
  struct timespec ts;
  clock_gettime (id, &ts);
  return (int64_t)ts.tv_sec * MS_PER_S + ts.tv_nsec / NS_PER_MS;
}

static int64_t
real_now_ms (struct clock *c)
{
  (void)c;
  return read_clock (CLOCK_BOOTTIME);
}

static int64_t
manual_now_ms (struct clock *c)
{
  return ((struct manual_clock *)c)->time_ms;
}

static const struct clock_ops real_ops = { real_now_ms };
static const struct clock_ops manual_ops = { manual_now_ms };
static struct clock real_clock = { &real_ops };

struct clock *
clock_real (void)
{
  return &real_clock;
}

void
manual_clock_init (struct manual_clock *c, int64_t start)
{
  c->clock.ops = &manual_ops;
  c->time_ms = start;
}

void
manual_clock_advance (struct manual_clock *c, int64_t ms)
{
  c->time_ms += ms;
}

int64_t
clock_now_ms (struct clock *c)
{
  return c->ops->now_ms (c);
}

int64_t
clock_wall_ms (void)
{
  return read_clock (CLOCK_REALTIME);
}
