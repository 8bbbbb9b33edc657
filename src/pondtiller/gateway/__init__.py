"""The gateway program on the users' platform: serves callers and trainers; one of them leads.

| package | task |
|---|---|
| `callers` | answers callers and trainers |
| `engines` | connections to engines and their state |
| `runs` | runs of samples that it executes for a leader |
| `leader` | election, and the work of a leader in its term |
| `pages` | readiness, metrics, the table with status columns |

`parts` creates and connects them, `process` runs them. A gateway stores nothing on disk.
"""
