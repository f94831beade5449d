# Checks a file of worker events: "unix_ms event task epoch worker".
# Variables: out and back, the time in which data centre c was out (command in force, return asked).
{
  time = $1; event = $2; task = $3; worker = $5
  if (event == "start")
    {
      starts++
      if (task in running)
        {
          twice++
          printf "VIOLATION task %s started on %s while it runs on %s\n", task, worker, running[task]
        }
      running[task] = worker
      if (worker ~ /^wc/ && time > out && time < back)
        {
          late++
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
  printf "task starts:                           %d, in two places at once: %d\n", starts, twice
  printf "starts in data centre c while out:     %d\n", late
}
