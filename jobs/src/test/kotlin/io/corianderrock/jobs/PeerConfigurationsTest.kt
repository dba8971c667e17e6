/*
 * Covers how a version of the configuration reaches entries that lose the feed from the store, their peers or both: guards against
 * removed keys that are still admitted 3,000 ms after the version was acknowledged (CONFIG), and against a version that goes back.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.accounts.keyDigest
import io.corianderrock.jobs.configuration.ActiveConfiguration
import io.corianderrock.jobs.configuration.KeyTrustRule
import io.corianderrock.jobs.configuration.PeerConfigurationClient
import io.corianderrock.jobs.configuration.PeerConfigurationResult
import io.corianderrock.jobs.configuration.PeerConfigurations
import io.corianderrock.jobs.ownership.PeerDirectory
import io.corianderrock.jobs.ownership.PeerStatus
import io.corianderrock.jobs.ownership.PeerStatusClient
import io.corianderrock.jobs.ownership.PeerStatusResult
import io.corianderrock.jobs.state.ClientAccount
import io.corianderrock.jobs.state.JobsConfiguration
import io.corianderrock.jobs.world.SimLoop
import io.corianderrock.jobs.world.SimTime
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe

/** The platform allows 3,000 ms from the acknowledgement; the rest is for the processing of an entry that is short of processor time. */
private const val MAX_APPLY_MS = 2_200L
private const val LONG_POLL_MS = 1_800L
private const val POLL_TIMEOUT_MS = 2_700L
private const val SLOW_ANSWER_MS = 352L
private const val ENTRY_COUNT = 40

/** Times of the loss within one long poll. */
private val PHASES_MS = 0L..LONG_POLL_MS step 150

private fun configuration(version: Long): JobsConfiguration {
    val account = ClientAccount("account", keyDigests = setOf(keyDigest("key-$version")))
    return JobsConfiguration(version, emptyList(), emptyMap(), mapOf(account.name to account))
}

internal class PeerConfigurationsTest :
    DescribeSpec({
        describe("a third of the entries that lose the store just before a new version") {
            val losses =
                mapOf(
                    "whose polls fail at once" to FeedState.FAILING,
                    "whose open connections go silent" to FeedState.SILENT,
                )
            for ((name, state) in losses) {
                it("have it from their peers in time, $name") {
                    PHASES_MS.maxOf { phaseMs ->
                        val fleet = Fleet()
                        fleet.runFor(5_000 + phaseMs)
                        fleet.entries.take(ENTRY_COUNT * 35 / 100).forEach { it.feed = state }
                        fleet.publish(2)
                        fleet.msUntilAllHave(2)
                    } shouldBeLessThan MAX_APPLY_MS
                }
            }
        }
        describe("an entry that has had no configuration for a second") {
            // Guards against calls that are held although no configuration will come while they wait.
            it("lets no call wait for one") {
                val time = SimTime()
                val active = ActiveConfiguration(SimLoop(time), { _, _ -> })
                time.runUntil(time.nowMs + 1_001)
                val startNs = System.nanoTime()
                active.awaitFirst(waitMs = 60_000).shouldBeNull()
                (System.nanoTime() - startNs) / 1_000_000 shouldBeLessThan 30_000
            }
        }
        describe("an entry without peers") {
            it("has a new version as soon as a slow store answers") {
                val fleet = Fleet()
                fleet.runFor(5_000)
                fleet.entries[0].isCutOffFromPeers = true
                fleet.answerMs = SLOW_ANSWER_MS
                fleet.publish(2)
                fleet.msUntilAllHave(2) shouldBeLessThan 2 * SLOW_ANSWER_MS
            }
        }
        describe("an entry without store and peers") {
            it("keeps the last version, and with the strict rule trusts no key after the time that is allowed") {
                val fleet = Fleet(KeyTrustRule(isStrict = true, unconfirmedMs = 5_000))
                fleet.runFor(5_000)
                val (strict, other) = fleet.entries
                strict.cutOff()
                fleet.runFor(2_500)
                fleet.publish(2)
                strict.active.mayTrustKeys shouldBe true
                fleet.runFor(2_600)
                strict.active.version shouldBe 1
                strict.active.mayTrustKeys shouldBe false
                other.active.mayTrustKeys shouldBe true
            }
            it("trusts its keys without the strict rule, and learns the newest version when a peer is back") {
                val fleet = Fleet()
                fleet.runFor(5_000)
                val entry = fleet.entries[0]
                entry.cutOff()
                fleet.publish(2)
                fleet.runFor(20_000)
                entry.active.mayTrustKeys shouldBe true
                entry.isCutOffFromPeers = false
                fleet.msUntilAllHave(2) shouldBeLessThan 1_000
            }
        }
        describe("entries that only reach each other") {
            // Guards against two entries that confirm each other's outdated version for ever.
            it("trust no key by the strict rule") {
                val fleet = Fleet(KeyTrustRule(isStrict = true, unconfirmedMs = 5_000))
                fleet.runFor(5_000)
                fleet.entries.forEach { it.feed = FeedState.FAILING }
                fleet.runFor(8_000)
                fleet.entries.none { it.active.mayTrustKeys } shouldBe true
            }
        }
        describe("an entry that restarts without the store") {
            it("has no configuration until a peer gives it the newest one") {
                val fleet = Fleet()
                fleet.publish(4)
                fleet.runFor(2_000)
                val entry = fleet.entries[0]
                entry.feed = FeedState.FAILING
                entry.boot()
                entry.active.current.shouldBeNull()
                fleet.msUntilAllHave(4) shouldBeLessThan 1_000
            }
        }
        describe("a peer with a useless answer") {
            it("is ignored and logged, and the version does not go back") {
                val fleet = Fleet()
                fleet.publish(3)
                fleet.runFor(2_000)
                fleet.isEveryFetchInvalid = true
                fleet.entries[0].feed = FeedState.FAILING
                fleet.publish(4)
                fleet.runFor(2_000)
                fleet.entries[0].active.version shouldBe 3
                fleet.entries[0].events shouldContain "peer_configuration_failed"
                fleet.entries[0].active.offer(configuration(2), "feed")
                fleet.entries[0].active.version shouldBe 3
            }
        }
    })

private enum class FeedState { WORKING, FAILING, SILENT }

/** Entries whose feeds are long polls of one store that answers [answerMs] after a change. */
private class Fleet(
    val keyTrust: KeyTrustRule = KeyTrustRule(),
) {
    val time = SimTime()
    var published = configuration(1)
    var answerMs = 4L
    var isEveryFetchInvalid = false
    val entries = List(ENTRY_COUNT) { FleetEntry(this, "entry-$it") }.onEach { it.boot() }

    fun publish(version: Long) {
        published = configuration(version)
        entries.forEach { it.onPublished() }
    }

    fun runFor(durationMs: Long) = time.runUntil(time.nowMs + durationMs)

    fun msUntilAllHave(version: Long): Long {
        val startMs = time.nowMs
        while (time.nowMs - startMs < 60_000 && entries.any { it.active.version != version }) runFor(10)
        return time.nowMs - startMs
    }
}

private class FleetEntry(
    private val fleet: Fleet,
    private val name: String,
) {
    val loop = SimLoop(fleet.time)
    val events = ArrayList<String>()
    var feed = FeedState.WORKING
    var isCutOffFromPeers = false
    lateinit var active: ActiveConfiguration
    private var pollNumber = 0

    fun cutOff() {
        feed = FeedState.FAILING
        isCutOffFromPeers = true
    }

    fun boot() {
        active = ActiveConfiguration(loop, { event, _ -> events.add(event) }, fleet.keyTrust)
        val directory = PeerDirectory(name, List(ENTRY_COUNT) { "entry-$it" })
        val statuses = PeerStatusClient { address, onResult -> askStatus(address, onResult) }
        PeerConfigurations(loop, active, statuses, fetcher(), directory, { event, _ -> events.add(event) }).start()
        answer(++pollNumber)
    }

    fun onPublished() {
        val number = pollNumber
        if (feed == FeedState.WORKING) loop.after(fleet.answerMs) { answer(number) }
    }

    private fun poll() {
        val number = ++pollNumber
        loop.after(LONG_POLL_MS + fleet.answerMs) { answer(number) }
        loop.after(POLL_TIMEOUT_MS) { fail(number) }
    }

    private fun answer(number: Int) {
        when {
            number != pollNumber || feed == FeedState.SILENT -> return
            feed == FeedState.FAILING -> fail(number)
            else -> {
                active.offer(fleet.published, "feed")
                active.onFeedAnswered()
                poll()
            }
        }
    }

    private fun fail(number: Int) {
        if (number != pollNumber) return
        active.onFeedFailed()
        pollNumber++
        val next = pollNumber
        loop.after(200) { answer(next) }
    }

    private fun peer(address: String): FleetEntry? =
        fleet.entries.first { it.name == address }.takeIf { !it.isCutOffFromPeers && !isCutOffFromPeers }

    private fun askStatus(
        address: String,
        onResult: (PeerStatusResult) -> Unit,
    ) {
        val peer = peer(address) ?: return loop.after(500) { onResult(PeerStatusResult.Unreachable("no answer")) }
        loop.after(5) {
            val status = PeerStatus(null, isOwner = false, canWrite = true, configuration = peer.active.sighting())
            onResult(PeerStatusResult.Answered(status))
        }
    }

    private fun fetcher() =
        PeerConfigurationClient { address, onResult ->
            val configuration =
                peer(address)
                    ?.active
                    ?.current
                    ?.configuration
                    ?.takeIf { !fleet.isEveryFetchInvalid }
            val result = configuration?.let(PeerConfigurationResult::Answered) ?: PeerConfigurationResult.Failed("invalid")
            loop.after(20) { onResult(result) }
        }
}
