/*
 * Delays of claims by the processor time of entries: the owner's work grows with the whole fleet, while entries differ by a factor of four.
 */
package io.corianderrock.jobs.ownership

/** Delay of every claim, in which a write of the holder that is under way still counts. */
private const val CLAIM_DELAY_MS = 20L

/** Further delay of an entry with less processor time than others, above the half second in which all of them read the row. */
private const val SMALL_ENTRY_DELAY_MS = 600L

/** Processor time from which an entry claims a row that never had a holder without further delay. */
private const val AMPLE_PROCESSOR_MILLI = 1_500

/** The delay of a claim on [row], null if there never was one, by an entry with [processorMilli]. */
internal fun claimDelayMs(
    row: OwnerRow?,
    processorMilli: Int,
): Long =
    CLAIM_DELAY_MS +
        when {
            row == null -> SMALL_ENTRY_DELAY_MS * (AMPLE_PROCESSOR_MILLI - processorMilli).coerceAtLeast(0) / AMPLE_PROCESSOR_MILLI
            processorMilli < row.processorMilli -> SMALL_ENTRY_DELAY_MS
            else -> 0
        }
