/*
 * Publishes configurations: stores the declarations as an immutable blob, then moves the pointer by one compare-and-set.
 */
package io.corianderrock.coordination.configuration

import io.corianderrock.coordination.Platform
import io.corianderrock.coordination.PlatformResult
import io.corianderrock.coordination.Precondition
import io.corianderrock.coordination.Row
import io.corianderrock.coordination.Transaction
import io.corianderrock.coordination.Write
import io.corianderrock.coordination.map
import io.corianderrock.coordination.markerKey
import io.corianderrock.coordination.record.AuditRecord
import io.corianderrock.coordination.record.RecordedEvent
import io.corianderrock.coordination.record.sha256Hex
import io.corianderrock.coordination.transactExactlyOnce
import io.corianderrock.state.Configuration
import io.corianderrock.state.ConfigurationPointer
import io.corianderrock.state.Declarations
import kotlinx.serialization.json.Json

/** Validated declarations to publish, edited from version [baseVersion]. [changeId] makes retries of the submission idempotent. */
public data class Submission(
    val changeId: String,
    val author: String,
    val baseVersion: Long,
    val declarations: Declarations,
    val atMs: Long,
)

/** The result of [ConfigurationStore.submit]. */
public sealed interface SubmitResult {
    /** The submission was published as [pointer], by this call or an earlier one with the same change id. */
    public data class Accepted(
        val pointer: ConfigurationPointer,
    ) : SubmitResult

    /** The declarations equal those in force; nothing was written. */
    public data class Unchanged(
        val pointer: ConfigurationPointer,
    ) : SubmitResult

    /** The version in force, [winner], is not the base version; [winner] has version 0 if nothing was ever published. */
    public data class Superseded(
        val winner: ConfigurationPointer,
    ) : SubmitResult

    /** A platform call failed. If [PlatformResult.Failed.mayHaveApplied] is true, submit the same change id again. */
    public data class Failed(
        val failure: PlatformResult.Failed,
    ) : SubmitResult
}

/** Stores configurations in [platform] and records each published one in [record]. Stateless. */
public class ConfigurationStore(
    private val platform: Platform,
    private val record: AuditRecord,
) {
    private val json = Json

    /** Reads the pointer to the configuration in force; null if nothing was ever published. */
    public fun readPointer(): PlatformResult<ConfigurationPointer?> = platform.read(POINTER_KEY).map { it?.let(::decodePointer) }

    /** Reads the configuration that [pointer] names and checks it against its hash. */
    public fun load(pointer: ConfigurationPointer): PlatformResult<Configuration> =
        when (val fetched = platform.fetch(pointer.blob)) {
            is PlatformResult.Ok -> decodeBlob(pointer, fetched.value)
            is PlatformResult.Conflict -> fetched
            is PlatformResult.Failed -> fetched
        }

    /** Publishes [submission] if the version in force is its base version. Retries when a concurrent write causes a conflict. */
    public fun submit(submission: Submission): SubmitResult {
        repeat(MAX_SUBMIT_ATTEMPTS) {
            val row =
                when (val read = platform.read(POINTER_KEY)) {
                    is PlatformResult.Ok -> read.value
                    is PlatformResult.Failed -> return SubmitResult.Failed(read)
                    is PlatformResult.Conflict -> return SubmitResult.Failed(unexpectedConflict(read))
                }
            val current = row?.let(::decodePointer)
            when (val earlier = platform.read(markerKey(transactionId(submission)))) {
                is PlatformResult.Ok -> earlier.value?.let { return SubmitResult.Accepted(decodePointer(it)) }
                is PlatformResult.Failed -> return SubmitResult.Failed(earlier)
                is PlatformResult.Conflict -> return SubmitResult.Failed(unexpectedConflict(earlier))
            }
            resultWithoutWrite(submission, current)?.let { return it }
            publish(submission, row, current)?.let { return it }
        }
        return SubmitResult.Failed(
            PlatformResult.Failed(
                "submit",
                "platform",
                "the audit record was changed concurrently on every attempt",
                mayHaveApplied = false,
            ),
        )
    }

    private fun resultWithoutWrite(
        submission: Submission,
        current: ConfigurationPointer?,
    ): SubmitResult? =
        when {
            current == null -> if (submission.baseVersion == 0L) null else SubmitResult.Superseded(EMPTY_POINTER)
            current.blob == blobKey(submission.declarations) -> SubmitResult.Unchanged(current)
            current.version != submission.baseVersion -> SubmitResult.Superseded(current)
            else -> null
        }

    private fun publish(
        submission: Submission,
        row: Row?,
        current: ConfigurationPointer?,
    ): SubmitResult? {
        val content = json.encodeToString(Declarations.serializer(), submission.declarations)
        val blob = blobKey(submission.declarations)
        val stored = platform.putIfAbsent(blob, content)
        if (stored is PlatformResult.Failed) return SubmitResult.Failed(stored.copy(mayHaveApplied = false))
        val pointer = ConfigurationPointer((current?.version ?: 0) + 1, blob, submission.changeId, submission.author)
        val recordAppend =
            when (val result = record.prepareAppend(listOf(eventOf(submission, pointer)))) {
                is PlatformResult.Ok -> result.value
                is PlatformResult.Failed -> return SubmitResult.Failed(result)
                is PlatformResult.Conflict -> return null
            }
        val encodedPointer = json.encodeToString(ConfigurationPointer.serializer(), pointer)
        val transaction =
            Transaction(
                id = transactionId(submission),
                preconditions = recordAppend.preconditions + Precondition(POINTER_KEY, row?.revision ?: 0),
                writes = recordAppend.writes + Write(POINTER_KEY, encodedPointer),
                note = encodedPointer,
            )
        return when (val committed = platform.transactExactlyOnce(transaction)) {
            is PlatformResult.Ok -> SubmitResult.Accepted(pointer)
            is PlatformResult.Conflict -> null
            is PlatformResult.Failed -> SubmitResult.Failed(committed)
        }
    }

    private fun eventOf(
        submission: Submission,
        pointer: ConfigurationPointer,
    ): RecordedEvent =
        RecordedEvent(
            kind = "configuration-accepted",
            subject = pointer.blob,
            author = submission.author,
            cause = "change ${submission.changeId}",
            version = pointer.version,
            atMs = submission.atMs,
        )

    private fun decodePointer(row: Row): ConfigurationPointer = json.decodeFromString(ConfigurationPointer.serializer(), row.value)

    private fun decodeBlob(
        pointer: ConfigurationPointer,
        content: String?,
    ): PlatformResult<Configuration> {
        if (content == null) return loadFailure(pointer, "the blob does not exist")
        if (BLOB_PREFIX + sha256Hex(content) != pointer.blob) return loadFailure(pointer, "the content of the blob does not match its hash")
        val declarations = json.decodeFromString(Declarations.serializer(), content)
        return PlatformResult.Ok(Configuration(pointer.version, pointer.blob, pointer.changeId, pointer.author, declarations))
    }

    private fun loadFailure(
        pointer: ConfigurationPointer,
        reason: String,
    ): PlatformResult.Failed = PlatformResult.Failed("load", pointer.blob, reason, mayHaveApplied = false)

    private fun unexpectedConflict(conflict: PlatformResult.Conflict): PlatformResult.Failed =
        PlatformResult.Failed("read", conflict.key, "unexpected conflict on a read", mayHaveApplied = false)

    private fun transactionId(submission: Submission): String = "configuration-${submission.changeId}"

    private fun blobKey(declarations: Declarations): String =
        BLOB_PREFIX + sha256Hex(json.encodeToString(Declarations.serializer(), declarations))

    private companion object {
        const val POINTER_KEY = "configuration/pointer"
        const val BLOB_PREFIX = "configuration/blob/"
        const val MAX_SUBMIT_ATTEMPTS = 8
        val EMPTY_POINTER = ConfigurationPointer(version = 0, blob = "", changeId = "", author = "nobody")
    }
}
