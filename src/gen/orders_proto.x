/* Orders to workers that another VM executes for the leader, and their outcomes. */

%#include "workflow_proto.h"

const ORDERS_MOST = 4096;               /* orders or answers in one message */
const ORDERS_MOST_RUNS = 4096;          /* runs in the list of one worker */
const ORDERS_MOST_ENDS = 4096;

enum worker_order_kind
{
  ORDER_START = 1,
  ORDER_STOP = 2,
  ORDER_PACE = 3,
  ORDER_HOLD = 4
};

struct start_details
{
  workflow_task_ref task;
  unsigned run;
  string payload<WORKFLOW_PAYLOAD_BYTES>;
  workflow_checkpoint checkpoint;       /* "" is none */
  hyper deadline_ms;                    /* end of the lease, on the worker's clock */
};

struct stop_details
{
  workflow_task_ref task;
  unsigned run;
};

struct pace_details
{
  workflow_task_ref task;
  unsigned run;
  unsigned percent;
};

struct hold_details
{
  unsigned hyper acknowledged;
  hyper deadline_ms;                    /* 0: no lease renewal */
  unsigned wait_ms;
};

union order_details switch (worker_order_kind kind)
{
  case ORDER_START:
    start_details start;
  case ORDER_STOP:
    stop_details stop;
  case ORDER_PACE:
    pace_details pace;
  case ORDER_HOLD:
    hold_details hold;
};

struct relayed_order
{
  unsigned hyper call;                  /* id chosen by the leader, returned with the answer */
  workflow_name worker;
  workflow_name address;
  unsigned hyper fence;
  order_details details;
};

/* The receiver drops orders with an old echo: a broken connection held them up. */
struct order_batch
{
  unsigned hyper echo;                  /* receiver's clock in its last answers; 0: none yet */
  relayed_order orders<ORDERS_MOST>;
};

struct listed_run
{
  workflow_task_ref task;
  unsigned run;
  workflow_checkpoint checkpoint;
  unsigned percent;
  unsigned measure;
};

struct listed_end_row
{
  unsigned hyper number;
  workflow_task_ref task;
  unsigned run;
  workflow_outcome outcome;
  workflow_checkpoint checkpoint;
};

struct relayed_lists
{
  hyper clock_ms;
  hyper born_ms;
  bool complete;
  listed_run running<ORDERS_MOST_RUNS>;
  listed_end_row ended<ORDERS_MOST_ENDS>;
};

struct relayed_answer
{
  unsigned hyper call;
  unsigned result;                      /* enum worker_call_result */
  relayed_lists *lists;                 /* for a hold that was answered */
};

struct answer_batch
{
  unsigned hyper clock;                 /* sender's clock, returned as echo */
  bool stopping;                        /* the sender accepts no more orders */
  relayed_answer answers<ORDERS_MOST>;
};

enum orders_message_kind
{
  ORDERS_TO_CALL = 1,
  ORDERS_ANSWERED = 2
};

union orders_message switch (orders_message_kind kind)
{
  case ORDERS_TO_CALL:
    order_batch orders;
  case ORDERS_ANSWERED:
    answer_batch answers;
};
