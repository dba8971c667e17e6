/*
 * The rows of a job in the folded form: which row holds what of a task, and how large each may become.
 */
package io.corianderrock.jobs.state

import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.ports.Table
import java.util.Base64
import java.util.BitSet

/** Where the tasks of [submission] are in its bitmap and in its groups. */
internal class TaskPositions(
    private val submission: JobSubmission,
) {
    private val stepOffsets = submission.steps.runningFold(0) { sum, step -> sum + step.count }
    private val tasksPerOccurrence = stepOffsets.last()

    /** Number of tasks whose failed runs are in one row. */
    private val groupSize = maxOf(1, GROUP_BYTES / bytesPerTask(submission.queue.maxAttempts))

    fun of(id: TaskId): Int = id.occurrence * tasksPerOccurrence + stepOffsets[id.step] + id.index

    /** The task at [position], null if the job has none there. */
    fun at(position: Int): TaskId? {
        val occurrence = position / tasksPerOccurrence
        val offset = position % tasksPerOccurrence
        if (position < 0 || occurrence >= submission.occurrenceCount) return null
        val step = stepOffsets.indexOfLast { it <= offset }
        return TaskId(submission.id, occurrence, step, offset - stepOffsets[step])
    }

    fun groupOf(id: TaskId): Int = of(id) / groupSize

    /** The positions of the tasks of [group]. */
    fun range(group: Int): IntRange = group * groupSize until (group + 1) * groupSize

    companion object {
        /**
         * Bytes of a row of failed runs. A row is written again with each failure of its tasks; much smaller rows would be many, as the
         * largest job has up to 500 of them with three attempts.
         */
        private const val GROUP_BYTES = 6_000

        /** A run number with its comma has up to 20 digits; the position and the punctuation of both lists have less than 30. */
        private const val RUN_BYTES = 20
        private const val POSITION_BYTES = 30

        /** Crashed runs of a task that fails its job by them. One of a job that lasts keeps more, for which this leaves no room. */
        private const val MAX_CRASHED_RUNS = 3

        private fun bytesPerTask(maxAttempts: Int): Int =
            (RUN_BYTES.toLong() * (maxAttempts.toLong() + MAX_CRASHED_RUNS) + POSITION_BYTES).coerceAtMost(Int.MAX_VALUE.toLong()).toInt()

        /**
         * The most characters that a row of failed runs of a job with [maxAttempts] may have. Beyond a million it is not computed:
         * no row of a store is as large.
         */
        fun largestGroupLength(maxAttempts: Int): Int =
            maxOf(GROUP_BYTES, bytesPerTask(maxAttempts)).coerceAtMost(LARGEST_LENGTH) + GROUP_FRAME_BYTES

        private const val LARGEST_LENGTH = 1_000_000
        private const val GROUP_FRAME_BYTES = 40
        private const val GROUP_SEPARATOR = "/runs/"

        fun groupKey(
            jobId: String,
            group: Int,
        ): RowKey = RowKey(Table.PROGRESS, "$jobId$GROUP_SEPARATOR$group")

        /** The job and the group of the row [key], null if it is no row of failed runs. */
        fun parseGroupKey(key: RowKey): Pair<String, Int>? {
            val group = key.key.substringAfterLast(GROUP_SEPARATOR, "").toIntOrNull() ?: return null
            return key.key.substringBeforeLast(GROUP_SEPARATOR) to group
        }
    }
}

/** The most characters that the progress of [submission] has in the folded form: the bitmap, and names, state and time of the end. */
internal fun largestFoldedLength(submission: JobSubmission): Int {
    val taskCount = submission.steps.sumOf { it.count } * submission.occurrenceCount
    val bitmapBytes = (taskCount + Byte.SIZE_BITS - 1) / Byte.SIZE_BITS
    return FOLDED_FRAME_LENGTH + (bitmapBytes + 2) / 3 * 4
}

private const val FOLDED_FRAME_LENGTH = 120

internal fun encodeBits(bits: BitSet): String = Base64.getEncoder().encodeToString(bits.toByteArray())

/** Null if [text] is not valid Base64. */
internal fun decodeBits(text: String): BitSet? =
    try {
        BitSet.valueOf(Base64.getDecoder().decode(text))
    } catch (_: IllegalArgumentException) {
        null
    }
