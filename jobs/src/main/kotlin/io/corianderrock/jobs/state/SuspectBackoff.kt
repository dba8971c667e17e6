/*
 * When a task that lasts is restarted after workers have crashed under it. It has no budget of attempts, so that the time between its
 * restarts bounds what it costs.
 */
package io.corianderrock.jobs.state

/** What a suspect that lasts waits for. */
internal enum class SuspectWait {
    /** The time since its last crash is shorter than its back-off. */
    BACK_OFF,

    /** Another suspect of its pool has started and may still crash its worker. */
    OTHER_SUSPECT,

    /** All workers with capacity run other tasks. */
    IDLE_WORKER,
}

/** Delays of restarts, counted from the loss of the worker that crashed last. */
internal object SuspectBackoff {
    private const val CRASHES_BEFORE_BACKOFF = 2
    private const val FIRST_MS = 1_000L

    /** The rules count the absence of a task that lasts from 6 s after its last run (LOST); 2 s of it are left to find an idle worker. */
    private const val LONGEST_MS = 4_000L

    /**
     * From 6 s after its last run a task that lasts may be away for 3 s where there is capacity (LOST). These 3 s are for placing,
     * storing and sending the start, so that a suspect waits for no other task and for no idle worker then.
     */
    private const val LONGEST_ABSENCE_MS = 6_000L

    /** The loop time before which [task] is not restarted: the delay doubles with each crash from the second on. */
    fun endsAtMs(task: TaskRun): Long {
        val lastCrashAtMs = task.lastCrashAtMs ?: return 0
        val doublings = (task.crashedRuns.size - CRASHES_BEFORE_BACKOFF).coerceIn(0, 2)
        return lastCrashAtMs + minOf(LONGEST_MS, FIRST_MS shl doublings)
    }

    /** The loop time from which [task] is restarted on any worker that has capacity for it. */
    fun latestStartMs(task: TaskRun): Long {
        val hasCrashedLast = task.runNumber in task.crashedRuns
        val awaySinceMs = task.lastCrashAtMs?.takeIf { hasCrashedLast } ?: task.waitingSinceMs
        return awaySinceMs + LONGEST_ABSENCE_MS
    }
}
