#include <stdio.h>

int
main (void)
{
  puts ("sassafrasd");
  return 0;
}
