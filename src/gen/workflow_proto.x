/* Commands, results and snapshot of a workflow group: jobs made of steps, run on called workers.
   Every string and array is bounded here; the codec refuses more.  */

const WORKFLOW_NAME_BYTES = 256;
const WORKFLOW_PAYLOAD_BYTES = 4000;
const WORKFLOW_CHECKPOINT_BYTES = 256;
const WORKFLOW_MAX_STEPS = 64;
const WORKFLOW_MAX_TASKS = 20000;       /* tasks of one job, over all steps and occurrences */
const WORKFLOW_MAX_QUEUES = 8192;
const WORKFLOW_MAX_POOLS = 1024;
const WORKFLOW_MAX_ZONES = 64;
const WORKFLOW_MAX_JOBS = 200000;
const WORKFLOW_MAX_RUNS = 2;            /* runs of one task at a time: a speculative step has copies */
const WORKFLOW_DOCUMENT_BYTES = 900000; /* a command stays below PEER_ENTRY_BYTES */
const WORKFLOW_MAX_PRUNE = 4096;
const WORKFLOW_SNAPSHOT_FORMAT = 1;

typedef string workflow_name<WORKFLOW_NAME_BYTES>;
typedef string workflow_checkpoint<WORKFLOW_CHECKPOINT_BYTES>;

/* Bits of workflow_step.flags.  */
const WORKFLOW_STEP_LASTING = 1;        /* runs until the job is cancelled, restarted whenever it ends */
const WORKFLOW_STEP_FILL = 2;           /* uses processors that other tasks leave unused */
const WORKFLOW_STEP_SPECULATIVE = 4;    /* copies may run at the same time, the first end counts */
const WORKFLOW_STEP_CHECKPOINTING = 8;
const WORKFLOW_STEP_GANG = 16;          /* tasks run only together */
const WORKFLOW_STEP_RACK_LOCAL = 32;    /* slower over more than one rack */

struct workflow_step
{
  unsigned count;
  unsigned millicores;
  unsigned memory_mb;
  unsigned accelerators;
  unsigned estimate_ms;                 /* rough run time of a task */
  unsigned flags;
  unsigned after<WORKFLOW_MAX_STEPS>;   /* earlier steps that must be done */
  workflow_name required_label;         /* "" is none */
  workflow_name data_rack;              /* "" is none */
  workflow_name image;                  /* tasks of one image behave alike; "" is unknown */
  unsigned max_per_worker;              /* 0 is no limit */
  unsigned target_ms;                   /* lasting: response times stay below; 0 is none */
  unsigned max_unavailable;             /* lasting: tasks our actions may keep from work; 0 is none */
};

struct workflow_spec
{
  unsigned hyper id;                    /* chosen by the customer, unique over all queues */
  workflow_name queue;
  string payload<WORKFLOW_PAYLOAD_BYTES>;
  workflow_step steps<WORKFLOW_MAX_STEPS>;
  unsigned repetitions;                 /* 0: once, at once */
  hyper first_start_ms;                 /* Unix time of the first occurrence */
  hyper period_ms;                      /* between occurrences */
};

struct workflow_queue
{
  workflow_name name;
  workflow_name host;                   /* of the requests that select it */
  workflow_name path_prefix;
  workflow_name pool;                   /* workers that run its tasks */
  unsigned priority;                    /* 0 is first */
  unsigned max_attempts;
  unsigned stretch_milli;               /* objective: stretch x longest chain + target_ms */
  unsigned target_ms;
  unsigned timeout_ms;                  /* of a request */
  bool needs_advice;                    /* starts need tickets of an outside service */
};

struct workflow_pool
{
  workflow_name name;
  bool guards_room;                     /* workers refuse what does not fit */
  bool standby;                         /* its machines are off */
};

struct workflow_configuration
{
  unsigned hyper revision;              /* 0: none yet */
  workflow_queue queues<WORKFLOW_MAX_QUEUES>;
  workflow_pool pools<WORKFLOW_MAX_POOLS>;
  opaque document<WORKFLOW_DOCUMENT_BYTES>; /* as the operator sent it */
};

struct workflow_zone_change
{
  workflow_name zone;
  bool out;
};

struct workflow_task_ref
{
  unsigned hyper job;
  unsigned occurrence;
  unsigned step;
  unsigned index;
};

struct workflow_place
{
  workflow_task_ref task;
  unsigned run;                         /* must be one above the last run */
  workflow_name worker;
};

enum workflow_outcome
{
  WORKFLOW_DONE = 1,
  WORKFLOW_FAILED = 2,                  /* counts as an attempt */
  WORKFLOW_STOPPED = 3,
  WORKFLOW_LAPSED = 4,                  /* the worker's lease ran out */
  WORKFLOW_BROKEN = 5,                  /* another member of the gang ended */
  WORKFLOW_ALONE = 6,                   /* the gang did not come together */
  WORKFLOW_NOT_STARTED = 7              /* this run never began and never will */
};

struct workflow_end
{
  workflow_task_ref task;
  unsigned run;
  workflow_outcome outcome;
  workflow_checkpoint checkpoint;       /* "" keeps the last one */
};

enum workflow_command_kind
{
  WORKFLOW_CONFIGURE = 1,
  WORKFLOW_ZONE = 2,
  WORKFLOW_SUBMIT = 3,
  WORKFLOW_CANCEL = 4,
  WORKFLOW_PLACE = 5,
  WORKFLOW_END = 6,
  WORKFLOW_PRUNE = 7
};

union workflow_command switch (workflow_command_kind kind)
{
case WORKFLOW_CONFIGURE:
  workflow_configuration configuration;
case WORKFLOW_ZONE:
  workflow_zone_change zone;
case WORKFLOW_SUBMIT:
  workflow_spec spec;
case WORKFLOW_CANCEL:
  unsigned hyper cancel;
case WORKFLOW_PLACE:
  workflow_place place;
case WORKFLOW_END:
  workflow_end end;
case WORKFLOW_PRUNE:
  unsigned hyper prune<WORKFLOW_MAX_PRUNE>; /* jobs that ended long ago */
};

/* Result of a command: a status kind and, for SUBMIT, whether the job was known.  */
struct workflow_result
{
  int status;
  bool known;
};

struct workflow_run_image
{
  unsigned run;
  workflow_name worker;
};

struct workflow_task_image
{
  unsigned state;
  unsigned last_run;
  unsigned failures;
  workflow_checkpoint checkpoint;
  workflow_run_image runs<WORKFLOW_MAX_RUNS>;
};

struct workflow_job_image
{
  workflow_spec spec;
  unsigned state;
  unsigned started;
  workflow_task_image tasks<WORKFLOW_MAX_TASKS>;
};

struct workflow_image
{
  unsigned format;
  workflow_configuration configuration;
  workflow_name zones_out<WORKFLOW_MAX_ZONES>;
  workflow_job_image jobs<WORKFLOW_MAX_JOBS>;
};
