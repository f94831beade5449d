# Checks worker events, one per line: "unix_ms event task epoch worker".
# Variables, in Unix ms: out (data centre c taken out of service), back (its return requested).
{
  time = $1; event = $2; task = $3; worker = $5
  if (event == "start")
    {
      starts++
      if (task in running)
        {
          concurrent_starts++
          printf "VIOLATION task %s started on %s while it runs on %s\n", task, worker, running[task]
        }
      running[task] = worker
      if (worker ~ /^wc/ && time > out && time < back)
        {
          starts_while_out++
          printf "VIOLATION task %s started on %s while data centre c was out\n", task, worker
        }
    }
  else
    {
      if (event == "end" || event == "lapse" || event == "exit")
        delete running[task]
      ends++
    }
}
END {
  printf "task starts:                           %d, in two places at once: %d\n", starts, concurrent_starts
  printf "starts in data centre c while out:     %d\n", starts_while_out
}
