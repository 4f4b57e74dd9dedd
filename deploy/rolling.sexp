; Machines older than 240 s are replaced by themselves, within a tenth of each team's running tasks.
; Name this file by --tuning or ROSEWEIR_TUNING. docs/draining.md explains each setting.
(disruption
  (hole 0.2)              ; of a type's machines that may be missing at once, and the size of a wave
  (hole-gpus 0.08)        ; the same for types with GPUs, whose work waits for few places
  (soon 60)               ; seconds: what should end by then is waited for
  (grace 60)              ; seconds: what cannot move or save is waited for as long, then stopped
  (budget (share 0.1)))   ; of each team's tasks that run: so many may be down at once

(replacement
  (replace-older 240)     ; seconds since the rental
  (machines-a-day 100000)
  (money-a-day 100000))
