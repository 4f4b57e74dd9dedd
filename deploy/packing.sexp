; Places of large tasks are spared, and replicas move where large tasks fit only in total: docs/packing.md
(packing (choose "on") (move "on"))
