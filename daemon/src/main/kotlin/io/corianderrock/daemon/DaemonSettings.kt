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

/** All settings of one daemon. */
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

/** An address to listen on; [host] is an IP number. */
@Serializable
public data class ListenSettings(
    val host: String,
    val port: Int,
)

/** How to reach the platform. */
@Serializable
public data class PlatformSettings(
    val url: String,
    val callTimeoutMs: Long = 1_000,
    val pollIntervalMs: Long = 1_000,
)

/** Limits of this process. */
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

/** An operator: the [name] that the record shows, and the [token] that proves it. */
@Serializable
public data class OperatorSettings(
    val name: String,
    val token: Secret,
)

/** Reads and checks the settings in [file]; every problem is returned at once. */
public fun loadDaemonSettings(file: File): Validated<DaemonSettings> {
    val text =
        try {
            file.readText()
        } catch (e: IOException) {
            return Validated.Invalid(listOf(Problem(file.path, 0, "(file)", "unreadable: ${e.message}", "name a readable TOML file")))
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
    val problems = SettingsCheck(file, located).check()
    return if (problems.isEmpty()) Validated.Valid(located.value) else Validated.Invalid(problems)
}

private class SettingsCheck(
    private val file: String,
    private val located: LocatedValue<DaemonSettings>,
) {
    private val problems = ArrayList<Problem>()

    fun check(): List<Problem> {
        val settings = located.value
        name("instanceId", settings.instanceId)
        name("dataCentre", settings.dataCentre)
        listen("callers", settings.callers)
        listen("operators", settings.operators)
        listen("peers", settings.peers)
        url("platform.url", settings.platform.url)
        within("platform.callTimeoutMs", settings.platform.callTimeoutMs, 10..MAX_CALL_TIMEOUT_MS)
        within("platform.pollIntervalMs", settings.platform.pollIntervalMs, 100..MAX_POLL_MS)
        within("limits.maxConcurrentRequests", settings.limits.maxConcurrentRequests.toLong(), 1..MAX_CONCURRENT)
        within("limits.maxBodyBytes", settings.limits.maxBodyBytes, 1..MAX_BODY_BYTES)
        within("limits.ioThreads", settings.limits.ioThreads.toLong(), 1..MAX_IO_THREADS)
        within("limits.stopTimeoutMs", settings.limits.stopTimeoutMs, 0..MAX_STOP_MS)
        within("limits.leaveNoticeMs", settings.limits.leaveNoticeMs, 0..MAX_STOP_MS)
        within("limits.connectTimeoutMs", settings.limits.connectTimeoutMs, 1..MAX_CALL_TIMEOUT_MS)
        within("limits.entriesPerDataCentre", settings.limits.entriesPerDataCentre.toLong(), 1..MAX_ENTRIES)
        secret("peerToken", settings.peerToken)
        settings.operatorTokens.forEachIndexed { index, operator ->
            name("operator[$index].name", operator.name)
            secret("operator[$index].token", operator.token)
        }
        return problems
    }

    private fun name(
        key: String,
        value: String,
    ) {
        if (!NAME.matches(value)) report(key, "\"$value\"", "use 1 to 63 letters, digits, dots and hyphens")
    }

    private fun listen(
        key: String,
        value: ListenSettings,
    ) {
        if (!IP_NUMBER.matches(value.host)) report("$key.host", "\"${value.host}\"", "use an IP number such as 127.0.0.1")
        within("$key.port", value.port.toLong(), 0..MAX_PORT)
    }

    private fun url(
        key: String,
        value: String,
    ) {
        if (!URL.matches(value)) report(key, "\"$value\"", "use http://, an IP number, a colon and a port")
    }

    private fun secret(
        key: String,
        value: Secret,
    ) {
        if (value.length < MIN_SECRET_CHARS) report(key, "a secret of ${value.length} characters", "use at least $MIN_SECRET_CHARS")
    }

    private fun within(
        key: String,
        value: Long,
        range: LongRange,
    ) {
        if (value !in range) report(key, value.toString(), "use a value from ${range.first} to ${range.last}")
    }

    private fun report(
        key: String,
        found: String,
        allowed: String,
    ) {
        problems += Problem(file, located.lineOf(key), key, found, allowed)
    }

    private companion object {
        val NAME = Regex("[A-Za-z0-9][A-Za-z0-9.-]{0,62}")
        val IP_NUMBER = Regex("[0-9]{1,3}(\\.[0-9]{1,3}){3}|[0-9a-fA-F:]*:[0-9a-fA-F:.]*")
        val URL = Regex("http://([0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:.]+]):[0-9]{1,5}")
        const val MIN_SECRET_CHARS = 16
        const val MAX_PORT = 65_535L
        const val MAX_CALL_TIMEOUT_MS = 60_000L
        const val MAX_POLL_MS = 60_000L
        const val MAX_CONCURRENT = 16_384L
        const val MAX_BODY_BYTES = 67_108_864L
        const val MAX_IO_THREADS = 64L
        const val MAX_STOP_MS = 600_000L
        const val MAX_ENTRIES = 64L
    }
}
