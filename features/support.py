"""What steps share; the helpers themselves serve the demo and the bench as well."""

from oleander_standins import processes

Cluster = processes.Cluster
call = processes.call
wait_until = processes.wait_until
