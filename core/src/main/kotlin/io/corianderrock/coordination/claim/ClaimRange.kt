/*
 * The partition of the key space into ranges. Each range has one owner at a time, which alone grants claims on its keys.
 */
package io.corianderrock.coordination.claim

import io.corianderrock.coordination.Row
import io.corianderrock.coordination.Write
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.util.zip.CRC32

public const val CLAIM_RANGES: Int = 64

public fun rangeOf(key: String): Int = (CRC32().apply { update(key.toByteArray()) }.value % CLAIM_RANGES).toInt()

/**
 * The table row of a range. [owner] is the id of the process that owns it, empty when it is free. [epoch] grows with each
 * change of owner. [historyGapUntilMs] is the wall-clock time before which claims of former owners may be missing from
 * the log; 0 when the log is complete.
 */
@Serializable
public data class ClaimRangeRow(
    val range: Int,
    val owner: String,
    val ownerInstance: String,
    val epoch: Long,
    val historyGapUntilMs: Long = 0,
)

/** The table row with the last heartbeat of the process [owner], in its wall-clock time. */
@Serializable
public data class ClaimHeartbeatRow(
    val owner: String,
    val wallMs: Long,
)

/**
 * Limits of claim ownership. [claimTimeoutMs] is how long a claim waits for the log: commits of a platform that is slow or a machine
 * that is busy take longer than 400 ms. [commitsPerSecond] bounds all owners together. [retentionMs] is how long a claim is
 * remembered; [maxKeptResponses] and [maxResponseBytes] bound the responses kept for resends.
 */
public data class ClaimLimits(
    val heartbeatIntervalMs: Long = 1_000,
    val writeBehindAfterMs: Long = 3_000,
    val maxClockSkewMs: Long = 1_000,
    val claimTimeoutMs: Long = 1_000,
    val commitsPerSecond: Double = 80.0,
    val commitBurst: Int = 4,
    val retentionMs: Long = 7_200_000,
    val maxResponseBytes: Int = 16_384,
    val maxKeptResponses: Int = 4_096,
)

/**
 * The wall-clock time before which claims of a former owner may be missing from its log, or 0 if the log is complete. An
 * owner grants write-behind only from [ClaimLimits.writeBehindAfterMs] after its last heartbeat, so one that terminated
 * before that, less [ClaimLimits.maxClockSkewMs], has logged every claim.
 */
public fun historyGapUntilMs(
    limits: ClaimLimits,
    lastHeartbeatWallMs: Long,
    terminatedAtMs: Long,
    nowWallMs: Long,
): Long {
    val latestLoggedTerminationMs = lastHeartbeatWallMs + limits.writeBehindAfterMs - limits.maxClockSkewMs
    return if (terminatedAtMs <= latestLoggedTerminationMs) 0 else nowWallMs + limits.maxClockSkewMs
}

internal const val RANGE_PREFIX = "claims/range/"

internal fun rangeKey(range: Int): String = RANGE_PREFIX + "%03d".format(range)

internal fun heartbeatKey(owner: String): String = "claims/beat/$owner"

internal fun logPrefix(range: Int): String = "claims/log/" + "%03d".format(range) + "/"

internal fun decodeRange(row: Row): ClaimRangeRow = Json.decodeFromString(ClaimRangeRow.serializer(), row.value)

internal fun ClaimRangeRow.asWrite(): Write = Write(rangeKey(range), Json.encodeToString(ClaimRangeRow.serializer(), this))
