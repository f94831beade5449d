/* Sizes of control messages and of a cell's state as functions of the counts they depend on.

   Usage: bench_control_size

   Every table ends with a linear fit, base + slope * count, by least squares of the relative
   errors, and the largest relative error.  Bytes are those of the encoded body, without the 44
   bytes of RPC header and record mark.  CPU time is that of this process.  */
#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <jansson.h>

#include "cell.h"
#include "peer_proto.h"
#include "runner_table.h"

#define POINTS 4
#define DIGEST_ROUNDS 2000
#define DIGEST_PERIOD_MS 500
#define PAYLOAD_BYTES 64
#define REPEATS 3 /* the lowest CPU time is reported: other load only adds time */

struct line
{
  double base;
  double slope;
  double error; /* largest relative error */
};

static double
cpu_s (void)
{
  struct timespec t;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
  return (double)t.tv_sec + (double)t.tv_nsec * 1e-9;
}

static struct line
fit (const double *x, const double *y, int n)
{
  double sw = 0;
  double sx = 0;
  double sy = 0;
  double sxx = 0;
  double sxy = 0;
  for (int i = 0; i < n; i++)
    {
      double w = 1.0 / (y[i] * y[i]);
      sw += w;
      sx += w * x[i];
      sy += w * y[i];
      sxx += w * x[i] * x[i];
      sxy += w * x[i] * y[i];
    }
  struct line l;
  l.slope = (sw * sxy - sx * sy) / (sw * sxx - sx * sx);
  l.base = (sy - l.slope * sx) / sw;
  l.error = 0;
  for (int i = 0; i < n; i++)
    l.error = fmax (l.error, fabs (l.base + l.slope * x[i] - y[i]) / y[i]);
  return l;
}

static void
print_fit (const char *what, const char *unit, const char *count, const double *x, const double *y)
{
  struct line l = fit (x, y, POINTS);
  printf ("%s:", what);
  for (int i = 0; i < POINTS; i++)
    printf (" %.0f -> %.2f%s", x[i], y[i], i < POINTS - 1 ? "," : "");
  printf ("\n  %.2f + %.4f * %s [%s], largest error %.1f%%\n", l.base, l.slope, count, unit,
          l.error * 100);
}

/* ---- runner digests ---- */

static void
announce_runners (struct runner_table *t, int count, uint32_t in_flight, int64_t now_ms)
{
  for (int i = 0; i < count; i++)
    {
      struct runner_info info = { .service = "routing",
                                  .data_centre = "kigali-1",
                                  .incarnation = 1,
                                  .slots = 8,
                                  .connections = 64,
                                  .in_flight = in_flight };
      struct status st;
      snprintf (info.id, sizeof info.id, "runner-%04d", i);
      snprintf (info.address, sizeof info.address, "10.1.%d.%d:8080", i / 250, 1 + i % 250);
      runner_table_announce (t, &info, now_ms, &st);
    }
}

static void
exchange (struct runner_table *from, struct runner_peer *to_peer, struct runner_table *to,
          struct runner_peer *from_peer, int64_t now_ms, double *bytes)
{
  runner_digest d;
  runner_digest_reply reply;
  runner_table_make_digest (from, to_peer, now_ms, &d);
  *bytes = (double)xdr_sizeof ((xdrproc_t)xdr_runner_digest, &d);
  runner_table_handle_digest (to, from_peer, &d, now_ms, &reply);
  runner_table_handle_reply (from, to_peer, &reply);
  runner_digest_free (&d);
}

/* Full digest, then digests with every runner's load changed, then a digest without changes.  */
static void
measure_digest (int runners, double *full, double *busy, double *idle, double *cpu_us)
{
  int64_t now_ms = 1000000;
  struct runner_table *a = runner_table_open (1, now_ms);
  struct runner_table *b = runner_table_open (2, now_ms);
  struct runner_peer *pa = runner_table_peer (a, "b");
  struct runner_peer *pb = runner_table_peer (b, "a");
  announce_runners (a, runners, 0, now_ms);
  exchange (a, pa, b, pb, now_ms, full);
  *cpu_us = 0;
  for (int i = 1; i <= DIGEST_ROUNDS; i++)
    {
      now_ms += DIGEST_PERIOD_MS;
      announce_runners (a, runners, (uint32_t)i % 8, now_ms);
      double t = cpu_s ();
      exchange (a, pa, b, pb, now_ms, busy);
      *cpu_us += (cpu_s () - t) * 1e6 / DIGEST_ROUNDS;
    }
  announce_runners (a, runners, DIGEST_ROUNDS % 8, now_ms);
  exchange (a, pa, b, pb, now_ms, idle);
  runner_table_close (a);
  runner_table_close (b);
}

static void
measure_digests (void)
{
  double x[POINTS] = { 0, 64, 256, 700 };
  double full[POINTS];
  double busy[POINTS];
  double idle[POINTS];
  double us[POINTS];
  for (int i = 0; i < POINTS; i++)
    measure_digest ((int)x[i], &full[i], &busy[i], &idle[i], &us[i]);
  print_fit ("runner digest, full table", "bytes", "runners of the entry", x, full);
  print_fit ("runner digest, every load changed", "bytes", "runners of the entry", x, busy);
  print_fit ("runner digest, no change", "bytes", "runners of the entry", x, idle);
  print_fit ("runner digest, make and handle", "us CPU", "runners of the entry", x, us);
}

/* ---- permits ---- */

static void
measure_permits (void)
{
  double x[POINTS] = { 1, 3, 12, 23 };
  double y[POINTS];
  cell_capacity cells[PEER_MAX_CELLS];
  char name[] = "kigali-01";
  for (int i = 0; i < POINTS; i++)
    {
      permit_grant g = { .granted = true };
      for (int k = 0; k < (int)x[i]; k++)
        cells[k] = (cell_capacity){ .data_centre = name };
      g.cells.cells_len = (u_int)x[i];
      g.cells.cells_val = cells;
      y[i] = (double)xdr_sizeof ((xdrproc_t)xdr_permit_grant, &g);
    }
  permit_request r = { .data_centre = name, .capacity = { .data_centre = name } };
  printf ("permit request: %lu bytes\n", xdr_sizeof ((xdrproc_t)xdr_permit_request, &r));
  print_fit ("permit grant", "bytes", "cells", x, y);
}

/* ---- poll of a worker ---- */

static void
measure_polls (void)
{
  double x[POINTS] = { 0, 5, 10, 40 };
  double y[POINTS];
  for (int i = 0; i < POINTS; i++)
    {
      json_t *tasks = json_array ();
      for (int k = 0; k < (int)x[i]; k++)
        json_array_append_new (
            tasks, json_pack ("{s:I, s:I, s:s, s:i, s:i, s:I, s:s, s:s}", "task",
                              (json_int_t)(1LL << 48) + 100000 + k, "epoch", (json_int_t)1, "state",
                              "running", "used_millicores", 900, "used_memory_mb", 1500,
                              "progress_ms", (json_int_t)60000, "checkpoint", "", "reason", ""));
      json_t *body
          = json_pack ("{s:s, s:I, s:I, s:i, s:i, s:o}", "id", "worker-00001", "incarnation",
                       (json_int_t)1800000000000, "sequence", (json_int_t)100000, "measured_ago_ms",
                       0, "used_millicores", 9000, "tasks", tasks);
      char *text = json_dumps (body, JSON_COMPACT);
      y[i] = (double)strlen (text);
      free (text);
      json_decref (body);
    }
  print_fit ("poll of a worker, body", "bytes", "tasks on the worker", x, y);
}

/* ---- a cell's log and state ---- */

static size_t
entry_bytes (const struct cell *c, cell_command *cmd)
{
  struct buffer b = { 0 };
  cell_encode (c, 1000, cmd, 1, &b);
  size_t n = b.len;
  buffer_close (&b);
  return n;
}

static void
apply_command (struct cell *c, cell_command *cmd, cell_results *r)
{
  struct buffer b = { 0 };
  struct buffer out = { 0 };
  struct status st;
  cell_encode (c, 1000, cmd, 1, &b);
  c->machine.ops->apply (&c->machine, 1, b.data, b.len, &out);
  memset (r, 0, sizeof *r);
  if (cell_decode_results (out.data, out.len, r, &st) < 0)
    abort ();
  buffer_close (&b);
  buffer_close (&out);
}

static cell_command
submission (unsigned i, char *request, size_t size)
{
  static char customer[] = "depot-reconciliation";
  static char class[] = "reconcile";
  static char payload[PAYLOAD_BYTES + 1];
  cell_command cmd;
  memset (&cmd, 0, sizeof cmd);
  memset (payload, 'p', PAYLOAD_BYTES);
  snprintf (request, size, "r%u", i);
  cmd.kind = CELL_SUBMIT;
  cmd.cell_command_u.submit = (cell_job_spec){ .customer = customer,
                                               .request_id = request,
                                               .service = class,
                                               .kind = CELL_BATCH,
                                               .replicas = 1,
                                               .size = { 1000, 2000, 0 },
                                               .run_ms = 60000,
                                               .payload = payload };
  return cmd;
}

static cell_command
placement (uint64_t task)
{
  static char worker[] = "worker-00001";
  cell_command cmd;
  memset (&cmd, 0, sizeof cmd);
  cmd.kind = CELL_PLACE;
  cmd.cell_command_u.place = (cell_place){ .task = task, .worker = worker, .incarnation = 1 };
  return cmd;
}

static cell_command
report (uint64_t task, uint64_t epoch, cell_report_kind kind)
{
  static char empty[] = "";
  cell_command cmd;
  memset (&cmd, 0, sizeof cmd);
  cmd.kind = CELL_REPORT;
  cmd.cell_command_u.report = (cell_report){
    .task = task, .epoch = epoch, .kind = kind, .checkpoint = empty, .reason = empty
  };
  return cmd;
}

static void
fill_cell (struct cell *c, unsigned tasks)
{
  char request[24];
  cell_results r;
  for (unsigned i = 0; i < tasks; i++)
    {
      cell_command cmd = submission (i, request, sizeof request);
      apply_command (c, &cmd, &r);
      uint64_t task = r.results.results_val[0].task;
      uint64_t epoch = r.results.results_val[0].epoch;
      cell_free_results (&r);
      cmd = placement (task);
      cmd.cell_command_u.place.epoch = epoch;
      apply_command (c, &cmd, &r);
      epoch = r.results.results_val[0].epoch;
      cell_free_results (&r);
      cmd = report (task, epoch, CELL_REPORT_RUNNING);
      apply_command (c, &cmd, &r);
      cell_free_results (&r);
    }
}

static void
measure_entries (void)
{
  char request[24];
  struct cell c;
  cell_init (&c, 1);
  cell_command submit = submission (100000, request, sizeof request);
  cell_command place = placement (1);
  cell_command end = report (1, 1, CELL_REPORT_DONE);
  printf ("log entry of one command: submit with a payload of %d bytes %zu, place %zu, report %zu "
          "bytes\n",
          PAYLOAD_BYTES, entry_bytes (&c, &submit), entry_bytes (&c, &place),
          entry_bytes (&c, &end));
  cell_close (&c);
}

/* Measures the CPU time to save C and to load its image; returns the size of the image.  */
static double
measure_snapshot (const struct cell *c, double *save_ms, double *load_ms)
{
  double bytes = 0;
  *save_ms = *load_ms = INFINITY;
  for (int i = 0; i < REPEATS; i++)
    {
      struct cell copy;
      struct buffer image = { 0 };
      struct status st;
      double t = cpu_s ();
      c->machine.ops->save ((struct machine *)&c->machine, &image);
      *save_ms = fmin (*save_ms, (cpu_s () - t) * 1e3);
      bytes = (double)image.len;
      cell_init (&copy, 1);
      t = cpu_s ();
      if (copy.machine.ops->load (&copy.machine, image.data, image.len, &st) < 0)
        abort ();
      *load_ms = fmin (*load_ms, (cpu_s () - t) * 1e3);
      cell_close (&copy);
      buffer_close (&image);
    }
  return bytes;
}

static void
measure_state (void)
{
  double x[POINTS] = { 3000, 13000, 40000, 80000 };
  double heap[POINTS];
  double bytes[POINTS];
  double save_ms[POINTS];
  double load_ms[POINTS];
  for (int i = 0; i < POINTS; i++)
    {
      struct cell c;
      size_t before = mallinfo2 ().uordblks;
      cell_init (&c, 1);
      fill_cell (&c, (unsigned)x[i]);
      heap[i] = (double)(mallinfo2 ().uordblks - before);
      bytes[i] = measure_snapshot (&c, &save_ms[i], &load_ms[i]);
      cell_close (&c);
    }
  print_fit ("cell state, heap", "bytes", "tasks", x, heap);
  print_fit ("cell snapshot", "bytes", "tasks", x, bytes);
  print_fit ("cell snapshot, save", "ms CPU", "tasks", x, save_ms);
  print_fit ("cell snapshot, load", "ms CPU", "tasks", x, load_ms);
}

int
main (void)
{
  measure_digests ();
  measure_permits ();
  measure_polls ();
  measure_entries ();
  measure_state ();
  return 0;
}
