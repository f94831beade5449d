/* The VM processes under test: start, pause, stop, kill and restart.  */
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "soak.h"

#define ARG_BYTES 200
#define MAX_ARGS 16

struct arguments
{
  char text[MAX_ARGS][ARG_BYTES];
  char *list[MAX_ARGS + 1];
  int count;
};

static void __attribute__ ((format (printf, 2, 3)))
add_argument (struct arguments *a, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  vsnprintf (a->text[a->count], ARG_BYTES, format, args);
  va_end (args);
  a->list[a->count] = a->text[a->count];
  a->count++;
}

static void
make_arguments (const struct soak_vm *vm, struct arguments *a)
{
  const struct soak *s = vm->soak;
  bool core = vm->role == VM_CORE;
  int host = core ? HOST_CORE (vm->number) : HOST_FRONT (vm->number);
  memset (a, 0, sizeof *a);
  add_argument (a, "%s/sassafras-platform", s->build);
  add_argument (a, "--role=%s", core ? "core" : "front");
  add_argument (a, "--vm=%s-%d", core ? "core" : "front", vm->number);
  add_argument (a, "--data-centre=z%d", vm->number);
  add_argument (a, "--ip=%s.%d", s->net, host);
  add_argument (a, "--ports=%d,%d", FIRST_PORT, FIRST_PORT + 9);
  add_argument (a, "--seeds=%s.1:%d,%s.2:%d,%s.3:%d", s->net, CONTROL_PORT, s->net, CONTROL_PORT,
                s->net, CONTROL_PORT);
  add_argument (a, "--grace-s=6");
  if (core)
    {
      add_argument (a, "--bind=%s.%d", s->net, HOST_CORE_TARGET (vm->number));
      add_argument (a, "--listen-control=%s.%d:%d", s->net, host, CONTROL_PORT);
      add_argument (a, "--first-start=%s", vm->first_start ? "true" : "false");
      add_argument (a, "--data-dir=%s/core-%d", s->folder, vm->number);
      add_argument (a, "--lease-ms=%d", SOAK_LEASE_MS);
      add_argument (a, "--helped-from=%d", s->use_helpers ? 1 : 130);
      return;
    }
  add_argument (a, "--listen-customers=%s.%d:%d", s->net, host, CUSTOMER_PORT);
  add_argument (a, "--listen-ready=%s.%d:%d", s->net, host, CUSTOMER_PORT + 1);
}

static void
on_exited (struct ev_loop *loop, ev_child *w, int events)
{
  struct soak_vm *vm = w->data;
  (void)events;
  ev_child_stop (loop, w);
  vm->pid = 0;
  vm->paused = false;
  bool clean = WIFEXITED (w->rstatus) && WEXITSTATUS (w->rstatus) == 0;
  bool killed = WIFSIGNALED (w->rstatus) && WTERMSIG (w->rstatus) == SIGKILL;
  if (!vm->ending || !(clean || killed))
    report_violation (vm->soak, "%s-%d ended unexpectedly, status %d",
                      vm->role == VM_CORE ? "core" : "front", vm->number, w->rstatus);
  if (vm->up_at_ms == 0)
    vm->up_at_ms = vm->soak->now_ms + 1;
}

static void
remove_disk (struct soak_vm *vm)
{
  char command[SOAK_PATH_BYTES + 64];
  vm->disk_lost = false;
  snprintf (command, sizeof command, "rm -rf '%s/core-%d'", vm->soak->folder, vm->number);
  if (system (command) != 0)
    fprintf (stderr, "failed: %s\n", command);
}

void
vm_start (struct soak_vm *vm)
{
  if (vm->disk_lost)
    remove_disk (vm);
  struct arguments a;
  char log[SOAK_PATH_BYTES + 32];
  make_arguments (vm, &a);
  snprintf (log, sizeof log, "%s/%s-%d.log", vm->soak->folder,
            vm->role == VM_CORE ? "core" : "front", vm->number);
  vm->up_at_ms = 0;
  vm->ending = false;
  /* Keeps signals pending until the program has installed its handlers.  */
  sigset_t blocked;
  sigset_t before;
  sigemptyset (&blocked);
  sigaddset (&blocked, SIGTERM);
  sigaddset (&blocked, SIGHUP);
  sigprocmask (SIG_BLOCK, &blocked, &before);
  vm->pid = fork ();
  if (vm->pid == 0)
    {
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2 (fd, STDOUT_FILENO);
      dup2 (fd, STDERR_FILENO);
      execv (a.list[0], a.list);
      _exit (127);
    }
  sigprocmask (SIG_SETMASK, &before, NULL);
  ev_child_init (&vm->exited, on_exited, vm->pid, 0);
  vm->exited.data = vm;
  ev_child_start (vm->soak->loop, &vm->exited);
}

static void
resume (struct soak_vm *vm)
{
  if (vm->paused && vm->pid)
    kill (vm->pid, SIGCONT);
  vm->paused = false;
}

void
vm_end (struct soak_vm *vm, int sig, int64_t down_ms)
{
  if (!vm->pid || vm->ending)
    return;
  vm->ending = true;
  vm->up_at_ms = vm->soak->now_ms + down_ms;
  kill (vm->pid, sig);
  resume (vm);
}

void
vm_pause (struct soak_vm *vm, int64_t for_ms)
{
  if (!vm->pid || vm->paused || vm->ending)
    return;
  vm->paused = true;
  vm->resume_at_ms = vm->soak->now_ms + for_ms;
  kill (vm->pid, SIGSTOP);
}

/* The process restarts with an empty disk, so it joins the system and must not bootstrap one.  */
void
vm_lose_disk (struct soak_vm *vm, int64_t down_ms)
{
  if (!vm->pid || vm->ending)
    return;
  vm_end (vm, SIGKILL, down_ms);
  vm->first_start = false;
  vm->disk_lost = true;
}

void
vm_set_link_fault (struct soak_vm *vm, enum link_mode mode, int64_t delay_ms, int64_t for_ms)
{
  for (int i = 0; i < 2; i++)
    if (vm->links[i])
      proxy_set (vm->links[i], mode, delay_ms);
  vm->links_heal_at_ms = vm->soak->now_ms + for_ms;
}

static void
heal_links (struct soak_vm *vm)
{
  vm_set_link_fault (vm, LINK_FORWARD, 0, 0);
  vm->links_heal_at_ms = 0;
}

void
vm_tick (struct soak_vm *vm)
{
  int64_t now_ms = vm->soak->now_ms;
  if (vm->paused && now_ms >= vm->resume_at_ms)
    resume (vm);
  if (vm->links_heal_at_ms && now_ms >= vm->links_heal_at_ms)
    heal_links (vm);
  if (!vm->pid && now_ms >= vm->up_at_ms)
    vm_start (vm);
}

void
vm_heal (struct soak_vm *vm)
{
  resume (vm);
  heal_links (vm);
  if (!vm->pid)
    vm_start (vm);
}
