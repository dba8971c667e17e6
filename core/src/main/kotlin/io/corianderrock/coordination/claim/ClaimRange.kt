/*
 * Ranges of the key space. Each range has one owner at a time, which alone grants claims on its keys.
 */
package io.corianderrock.coordination.claim

import io.corianderrock.coordination.Row
import io.corianderrock.coordination.Write
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.util.zip.CRC32

/** The number of ranges of the key space. */
public const val CLAIM_RANGES: Int = 64

/** Returns the range of [key]. */
public fun rangeOf(key: String): Int = (CRC32().apply { update(key.toByteArray()) }.value % CLAIM_RANGES).toInt()

/**
 * The row of a range. [owner] is the process that owns it, empty when it is free. [historyGapUntilMs] is the wall-clock
 * time before which claims of a former owner may be missing; 0 when none can be.
 */
@Serializable
public data class ClaimRangeRow(
    val range: Int,
    val owner: String,
    val ownerInstance: String,
    val epoch: Long,
    val historyGapUntilMs: Long = 0,
)

/** The heartbeat of a process that owns ranges, stamped with its wall clock. */
@Serializable
public data class ClaimBeat(
    val owner: String,
    val wallMs: Long,
)

/** Limits of claim ownership, in milliseconds. */
public data class ClaimLimits(
    val beatIntervalMs: Long = 1_000,
    val memoryModeAfterMs: Long = 3_000,
    val maxClockSkewMs: Long = 1_000,
    val claimTimeoutMs: Long = 400,
    val commitsPerSecond: Double = 80.0,
    val commitBurst: Int = 4,
    val retentionMs: Long = 7_200_000,
    val maxAnswerBytes: Int = 16_384,
    val maxAnswers: Int = 4_096,
)

/**
 * Decides whether a former owner may have granted claims that its log lacks. It grants without logging only
 * [ClaimLimits.memoryModeAfterMs] after its last beat, so one that ended sooner than that, less the skew of clocks, has
 * logged everything. Returns the time before which claims may be missing, or 0.
 */
public fun historyGapUntilMs(
    limits: ClaimLimits,
    lastBeatWallMs: Long,
    endedAtMs: Long,
    nowWallMs: Long,
): Long {
    val latestCleanEndMs = lastBeatWallMs + limits.memoryModeAfterMs - limits.maxClockSkewMs
    return if (endedAtMs <= latestCleanEndMs) 0 else nowWallMs + limits.maxClockSkewMs
}

internal const val RANGE_PREFIX = "claims/range/"

internal fun rangeKey(range: Int): String = RANGE_PREFIX + "%03d".format(range)

internal fun beatKey(owner: String): String = "claims/beat/$owner"

internal fun logPrefix(range: Int): String = "claims/log/" + "%03d".format(range) + "/"

internal fun decodeRange(row: Row): ClaimRangeRow = Json.decodeFromString(ClaimRangeRow.serializer(), row.value)

internal fun ClaimRangeRow.asWrite(): Write = Write(rangeKey(range), Json.encodeToString(ClaimRangeRow.serializer(), this))
