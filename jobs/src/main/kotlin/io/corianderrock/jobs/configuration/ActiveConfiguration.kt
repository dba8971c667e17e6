/*
 * The configuration that this entry has in force, and how recently the store confirmed that there is no newer one.
 */
package io.corianderrock.jobs.configuration

import io.corianderrock.jobs.accounts.CallAccounts
import io.corianderrock.jobs.ownership.ConfigurationSighting
import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.state.JobsConfiguration
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** When keys are trusted. */
public data class KeyTrustRule(
    /** True to refuse calls that need a key once the configuration was not confirmed for [unconfirmedMs]. */
    val isStrict: Boolean = false,
    val unconfirmedMs: Long = 5_000,
)

/** One version of the configuration with the rule that its accounts make for calls: read once per call, so never mixed with another. */
public class ConfigurationInForce(
    public val configuration: JobsConfiguration,
) {
    public val calls: CallAccounts = CallAccounts(configuration.accounts)
}

/** Written on [loop], readable from any thread. */
public class ActiveConfiguration(
    private val loop: EventLoop,
    private val log: DecisionLog,
    private val keyTrust: KeyTrustRule = KeyTrustRule(),
) {
    /** The configuration in force; null until the first one is known. */
    @Volatile
    public var current: ConfigurationInForce? = null
        private set

    private val firstKnown = CountDownLatch(1)
    private val startedAtMs = loop.nowMs

    @Volatile
    private var confirmedAtMs = NEVER
    private var feedAnsweredAtMs = loop.nowMs
    private var hasFeedFailed = false

    public val version: Long? get() = current?.configuration?.version

    /** True while calls may be admitted by their key. */
    public val mayTrustKeys: Boolean get() = !keyTrust.isStrict || loop.nowMs - confirmedAtMs < keyTrust.unconfirmedMs

    /** True while the feed from the store fails or has not answered for [FEED_SILENCE_MS]. */
    public val isFeedSilent: Boolean get() = hasFeedFailed || loop.nowMs - feedAnsweredAtMs > FEED_SILENCE_MS

    /**
     * The configuration in force, null if there is none. An entry that has just started waits up to [waitMs] for it; later the wait
     * would be in vain, as the store or the feed is lost. Not to be called on [loop].
     */
    public fun awaitFirst(waitMs: Long): ConfigurationInForce? {
        if (current == null && loop.nowMs - startedAtMs < FIRST_WAIT_MS) firstKnown.await(waitMs, TimeUnit.MILLISECONDS)
        return current
    }

    /** What this entry tells its peers; null while it has no configuration. */
    public fun sighting(): ConfigurationSighting? {
        val version = version ?: return null
        val confirmedMs = confirmedAtMs
        return ConfigurationSighting(version, if (confirmedMs == NEVER) null else loop.nowMs - confirmedMs)
    }

    /** Puts [next] in force if it is newer than the active version, as versions never go back. [source] is logged. */
    public fun offer(
        next: JobsConfiguration,
        source: String,
    ) {
        val before = version
        if (before != null && next.version <= before) return
        val inForce = ConfigurationInForce(next)
        current = inForce
        firstKnown.countDown()
        log.write(
            "configuration_in_force",
            "version",
            next.version,
            "before",
            before,
            "routes",
            next.routes.size,
            "accounts",
            next.accounts?.size,
            "source",
            source,
        )
        for (accounts in inForce.calls.conflicts) {
            log.write("account_key_ambiguous", "version", next.version, "accounts", accounts.joinToString(","))
        }
    }

    /** Called when the feed has answered, after the versions of its answer were offered. */
    public fun onFeedAnswered() {
        hasFeedFailed = false
        feedAnsweredAtMs = loop.nowMs
        confirm(loop.nowMs)
    }

    /** Called when the feed has failed. */
    public fun onFeedFailed() {
        hasFeedFailed = true
    }

    /** Called when a peer that has [seen] in force was asked at [askedAtMs]. A peer that was not confirmed itself confirms nothing. */
    internal fun onPeerSighting(
        seen: ConfigurationSighting,
        askedAtMs: Long,
    ) {
        val confirmedAgoMs = seen.confirmedAgoMs ?: return
        if (confirmedAgoMs >= 0 && seen.version == version) confirm(askedAtMs - confirmedAgoMs)
    }

    private fun confirm(atMs: Long) {
        if (confirmedAtMs == NEVER || atMs > confirmedAtMs) confirmedAtMs = atMs
    }

    private companion object {
        const val NEVER = Long.MIN_VALUE / 2

        /** Several times what a starting entry takes to read its first configuration. */
        const val FIRST_WAIT_MS = 1_000L

        /**
         * Peers are asked from this silence of the feed on: longer than its long poll, so that nobody asks while the feed works, and
         * short enough for a removed key to be refused within 3,000 ms.
         */
        const val FEED_SILENCE_MS = 1_200L
    }
}
