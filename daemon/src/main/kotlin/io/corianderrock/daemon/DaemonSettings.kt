/*
 * The settings of the daemon, read from one TOML file.
 */
package io.corianderrock.daemon

import io.corianderrock.protocol.Secret
import io.corianderrock.protocol.toml.LocatedValue
import io.corianderrock.protocol.toml.Problem
import io.corianderrock.protocol.toml.Validated
import io.corianderrock.protocol.toml.decodeToml
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import java.io.File
import java.io.IOException

/** The settings of one daemon. */
@Serializable
public data class DaemonSettings(
    val instanceId: String,
    val dataCentre: String,
    val callers: ListenSettings,
    val operators: ListenSettings,
    val peers: ListenSettings,
    val platform: PlatformSettings,
    val limits: LimitSettings = LimitSettings(),
    val peerToken: Secret,
    @SerialName("operator") val operatorTokens: List<OperatorSettings> = emptyList(),
)

/** An address to listen on; [host] is an IP address. */
@Serializable
public data class ListenSettings(
    val host: String,
    val port: Int,
)

/** Address, call timeout and poll interval of the platform client. */
@Serializable
public data class PlatformSettings(
    val url: String,
    val callTimeoutMs: Long = 1_000,
    val pollIntervalMs: Long = 1_000,
)

/** Resource limits and timeouts of this process. */
@Serializable
public data class LimitSettings(
    val maxConcurrentRequests: Int = 1_024,
    val maxBodyBytes: Long = 4_194_304,
    val ioThreads: Int = 2,
    val stopTimeoutMs: Long = 30_000,
    val leaveNoticeMs: Long = 1_000,
    val connectTimeoutMs: Long = 500,
    val entriesPerDataCentre: Int = 2,
)

/** An operator: [name] is written to the audit record, [token] authenticates the operator's requests. */
@Serializable
public data class OperatorSettings(
    val name: String,
    val token: Secret,
)

/** Reads and validates the settings in [file]; an invalid result lists all problems. */
public fun loadDaemonSettings(file: File): Validated<DaemonSettings> {
    val text =
        try {
            file.readText()
        } catch (e: IOException) {
            return Validated.Invalid(listOf(Problem(file.path, 0, "(file)", "unreadable: ${e.message}", "give a readable TOML file")))
        }
    return when (val decoded = decodeToml(DaemonSettings.serializer(), file.name, text)) {
        is Validated.Invalid -> decoded
        is Validated.Valid -> checkValues(file.name, decoded.value)
    }
}

private fun checkValues(
    file: String,
    located: LocatedValue<DaemonSettings>,
): Validated<DaemonSettings> {
    val problems = SettingsValidator(file, located).check()
    return if (problems.isEmpty()) Validated.Valid(located.value) else Validated.Invalid(problems)
}

private class SettingsValidator(
    private val file: String,
    private val located: LocatedValue<DaemonSettings>,
) {
    private val problems = ArrayList<Problem>()

    fun check(): List<Problem> {
        val settings = located.value
        checkName("instanceId", settings.instanceId)
        checkName("dataCentre", settings.dataCentre)
        checkAddress("callers", settings.callers)
        checkAddress("operators", settings.operators)
        checkAddress("peers", settings.peers)
        checkUrl("platform.url", settings.platform.url)
        checkRange("platform.callTimeoutMs", settings.platform.callTimeoutMs, 10..MAX_TIMEOUT_MS)
        checkRange("platform.pollIntervalMs", settings.platform.pollIntervalMs, 100..MAX_POLL_INTERVAL_MS)
        checkRange("limits.maxConcurrentRequests", settings.limits.maxConcurrentRequests.toLong(), 1..MAX_CONCURRENT_REQUESTS)
        checkRange("limits.maxBodyBytes", settings.limits.maxBodyBytes, 1..MAX_BODY_BYTES)
        checkRange("limits.ioThreads", settings.limits.ioThreads.toLong(), 1..MAX_IO_THREADS)
        checkRange("limits.stopTimeoutMs", settings.limits.stopTimeoutMs, 0..MAX_STOP_TIMEOUT_MS)
        checkRange("limits.leaveNoticeMs", settings.limits.leaveNoticeMs, 0..MAX_STOP_TIMEOUT_MS)
        checkRange("limits.connectTimeoutMs", settings.limits.connectTimeoutMs, 1..MAX_TIMEOUT_MS)
        checkRange("limits.entriesPerDataCentre", settings.limits.entriesPerDataCentre.toLong(), 1..MAX_ENTRIES_PER_DATA_CENTRE)
        checkSecret("peerToken", settings.peerToken)
        settings.operatorTokens.forEachIndexed { index, operator ->
            checkName("operator[$index].name", operator.name)
            checkSecret("operator[$index].token", operator.token)
        }
        return problems
    }

    private fun checkName(
        key: String,
        value: String,
    ) {
        if (!NAME_PATTERN.matches(value)) addProblem(key, "\"$value\"", "use 1 to 63 letters, digits, dots and hyphens")
    }

    private fun checkAddress(
        key: String,
        value: ListenSettings,
    ) {
        if (!IP_ADDRESS_PATTERN.matches(value.host)) addProblem("$key.host", "\"${value.host}\"", "use an IP address such as 127.0.0.1")
        checkRange("$key.port", value.port.toLong(), 0..MAX_PORT)
    }

    private fun checkUrl(
        key: String,
        value: String,
    ) {
        if (!URL_PATTERN.matches(value)) addProblem(key, "\"$value\"", "use http://ADDRESS:PORT with an IP address")
    }

    private fun checkSecret(
        key: String,
        value: Secret,
    ) {
        if (value.length < MIN_SECRET_CHARS) addProblem(key, "a secret of ${value.length} characters", "use at least $MIN_SECRET_CHARS")
    }

    private fun checkRange(
        key: String,
        value: Long,
        range: LongRange,
    ) {
        if (value !in range) addProblem(key, value.toString(), "use a value from ${range.first} to ${range.last}")
    }

    private fun addProblem(
        key: String,
        found: String,
        allowed: String,
    ) {
        problems += Problem(file, located.lineOf(key), key, found, allowed)
    }

    private companion object {
        val NAME_PATTERN = Regex("[A-Za-z0-9][A-Za-z0-9.-]{0,62}")
        val IP_ADDRESS_PATTERN = Regex("[0-9]{1,3}(\\.[0-9]{1,3}){3}|[0-9a-fA-F:]*:[0-9a-fA-F:.]*")
        val URL_PATTERN = Regex("http://([0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:.]+]):[0-9]{1,5}")
        const val MIN_SECRET_CHARS = 16
        const val MAX_PORT = 65_535L
        const val MAX_TIMEOUT_MS = 60_000L
        const val MAX_POLL_INTERVAL_MS = 60_000L
        const val MAX_CONCURRENT_REQUESTS = 16_384L
        const val MAX_BODY_BYTES = 67_108_864L
        const val MAX_IO_THREADS = 64L
        const val MAX_STOP_TIMEOUT_MS = 600_000L
        const val MAX_ENTRIES_PER_DATA_CENTRE = 64L
    }
}
