"""What every process needs: clocks, logs, tasks, signals, settings files."""
