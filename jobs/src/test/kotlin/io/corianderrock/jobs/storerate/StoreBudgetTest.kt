/*
 * Covers the budget for calls to the store: guards against an entry whose callers keep the store full, so that nobody can win the
 * ownership, and against a budget that is felt while the store is sound.
 */
package io.corianderrock.jobs.storerate

import io.corianderrock.jobs.ports.ChangeResult
import io.corianderrock.jobs.ports.RowChange
import io.corianderrock.jobs.ports.StoreRefusal
import io.corianderrock.jobs.world.SilentTables
import io.corianderrock.jobs.world.SimLoop
import io.corianderrock.jobs.world.SimTime
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import kotlin.random.Random

private val OWNER_WRITE = StoreCall(StoreCallClass.OWNERSHIP, StoreCallKind.WRITE)
private val CALLER_WRITE = StoreCall(StoreCallClass.CALLERS, StoreCallKind.WRITE)
private val CALLER_READ = StoreCall(StoreCallClass.CALLERS, StoreCallKind.READ)
private val REFUSED = StoreCallEnd.Refused(StoreRefusal())

internal class StoreBudgetTest :
    DescribeSpec({
        describe("a sound store") {
            // Guards against latency and withheld calls on calm days.
            it("gets the owner's 50 transactions a second and the callers' reads at once") {
                val entry = BudgetedEntry(entryCount = 6)
                entry.every(20, forMs = 5_000) { entry.call(OWNER_WRITE) }
                entry.every(10, forMs = 5_000) { entry.call(CALLER_READ) }
                entry.sentCount shouldBe 750
                entry.withheld.shouldBeEmpty()
                entry.longestWaitMs shouldBe 0
            }
            it("is told no more than its rate by all entries together, however many there are") {
                val entry = BudgetedEntry(entryCount = 64)
                entry.every(1, forMs = 10_000) { entry.call(CALLER_WRITE) }
                entry.sentCount shouldBeInRange 30..300 * 10 / 64
            }
        }
        describe("callers' calls that exhaust the budget") {
            it("leave the owner its share, and are withheld in time and without having been sent") {
                val entry = BudgetedEntry(entryCount = 1)
                repeat(2_000) { entry.call(CALLER_WRITE) }
                entry.run(150)
                entry.withheld.forEach { (waitedMs, _) -> waitedMs shouldBeInRange 0L..110L }
                entry.withheld.size + entry.sentCount shouldBe 2_000
                val sentBefore = entry.sentCount
                repeat(60) { entry.call(OWNER_WRITE) }
                entry.sentCount - sentBefore shouldBe 60
            }
            it("fail as changes that were not applied") {
                val gate =
                    object : StoreGate {
                        override fun pass(
                            call: StoreCall,
                            withhold: (StoreRefusal) -> Unit,
                            send: (onEnd: (StoreCallEnd) -> Unit) -> Unit,
                        ) = withhold(StoreRefusal(700))
                    }
                var result: ChangeResult? = null
                GatedTables(SilentTables, gate).commit(RowChange()) { result = it }
                (result as ChangeResult.Failed).mayHaveApplied shouldBe false
                (result as ChangeResult.Failed).refusal shouldBe StoreRefusal(700)
            }
        }
        describe("a store that refuses writes") {
            it("gets far fewer of them at once, reads as before, and the usual rate again some seconds after its return") {
                val entry = BudgetedEntry(entryCount = 6)
                entry.end = REFUSED
                entry.every(10, forMs = 2_000) { entry.call(CALLER_WRITE) }
                entry.sentCount shouldBeLessThan 20
                entry.end = StoreCallEnd.Answered
                // No write waits any more.
                entry.run(200)
                entry.sentCount = 0
                entry.every(10, forMs = 500) { entry.call(CALLER_READ) }
                entry.sentCount shouldBe 50
                entry.run(6_000)
                entry.sentCount = 0
                entry.every(50, forMs = 2_000) { entry.call(CALLER_WRITE) }
                entry.sentCount shouldBe 40
                entry.lines.map { it.substringBefore(' ') } shouldContainExactly
                    listOf("store_budget_lowered", "store_unavailable", "store_budget_regained", "store_available")
            }
            it("is not called before the delay that it asked for, by candidates after a second") {
                val entry = BudgetedEntry(entryCount = 1)
                entry.end = StoreCallEnd.Refused(StoreRefusal(3_000))
                entry.call(OWNER_WRITE)
                entry.run(10)
                entry.end = StoreCallEnd.Answered
                entry.sentCount = 0
                entry.every(10, forMs = 900) { entry.call(OWNER_WRITE) }
                entry.sentCount shouldBe 0
                entry.withheld.last().second shouldBeInRange 2_000L..3_000L
                entry.run(200)
                entry.call(OWNER_WRITE)
                entry.sentCount shouldBe 1
                entry.every(10, forMs = 1_700) { entry.call(CALLER_WRITE) }
                entry.sentCount shouldBe 1
            }
        }
        describe("a store that takes 200 ms for each call") {
            it("has few calls of callers in flight, and still the owner's") {
                val entry = BudgetedEntry(entryCount = 6, answerMs = 200)
                entry.every(5, forMs = 3_000) { entry.call(CALLER_WRITE) }
                entry.inFlightCount shouldBe 1
                entry.call(OWNER_WRITE)
                entry.inFlightCount shouldBe 2
            }
        }
        describe("a write of callers without an answer") {
            // Guards against a backlog of writes that the store carries out late, each at the price of that moment.
            it("keeps back further ones at once until it can no longer be carried out, and none of the owner") {
                val entry = BudgetedEntry(entryCount = 6)
                entry.end = StoreCallEnd.Unanswered
                entry.call(CALLER_WRITE)
                entry.run(10)
                entry.end = StoreCallEnd.Answered
                entry.every(10, forMs = 4_900) { entry.call(CALLER_WRITE) }
                entry.sentCount shouldBe 1
                entry.withheld.forEach { (waitedMs, retryAfterMs) ->
                    waitedMs shouldBe 0L
                    retryAfterMs shouldBeInRange 1L..2_000L
                }
                entry.call(OWNER_WRITE)
                entry.call(CALLER_READ)
                entry.sentCount shouldBe 3
                entry.every(10, forMs = 700) { entry.call(CALLER_WRITE) }
                entry.sentCount shouldBeInRange 4..20
                entry.lines.map { it.substringBefore(' ') }.filter { "writes" in it } shouldContainExactly
                    listOf("store_writes_held", "store_writes_resumed")
            }
            it("counts before its timeout once its answer is overdue, until it is answered") {
                val entry = BudgetedEntry(entryCount = 6, answerMs = 900)
                entry.call(CALLER_WRITE)
                entry.run(60)
                entry.call(CALLER_WRITE)
                entry.sentCount shouldBe 1
                entry.run(900)
                entry.call(CALLER_WRITE)
                entry.sentCount shouldBe 2
            }
            it("counts no more once a read shows that it was carried out") {
                val entry = BudgetedEntry(entryCount = 6)
                entry.end = StoreCallEnd.Unanswered
                entry.call(CALLER_WRITE)
                entry.run(10)
                entry.readBack()
                entry.run(2_000)
                entry.call(CALLER_WRITE)
                entry.sentCount shouldBe 2
            }
            it("leaves a store that carries many times as many writes more of them") {
                val entry = BudgetedEntry(entryCount = 6, rates = StoreRates(writesPerS = 20_000.0, partWritesPerS = 10_000.0))
                entry.end = StoreCallEnd.Unanswered
                repeat(20) {
                    entry.call(CALLER_WRITE)
                    entry.run(10)
                }
                entry.sentCount shouldBe 20
            }
        }
        describe("callers that press while the store answers nothing") {
            // Guards against a configuration that is missed because callers use up what is left.
            it("leave the feed of the configuration its reads") {
                val entry = BudgetedEntry(entryCount = 64)
                entry.end = StoreCallEnd.Unanswered
                var feedCount = 0
                entry.every(1_000, forMs = 5_000) {
                    repeat(200) { entry.call(CALLER_READ) }
                    entry.call(StoreCall(StoreCallClass.OTHER, StoreCallKind.READ, isTimed = false)) { feedCount++ }
                }
                feedCount shouldBe 5
            }
        }
        describe("calls that wait") {
            it("are sent in the order of their classes") {
                val entry = BudgetedEntry(entryCount = 64, answerMs = 1)
                val order = ArrayList<StoreCallClass>()
                // Uses up what other classes than the ownership may take.
                repeat(300) { entry.call(StoreCall(StoreCallClass.LEASES, StoreCallKind.READ)) }
                for (callClass in listOf(StoreCallClass.CALLERS, StoreCallClass.OTHER, StoreCallClass.FLEET)) {
                    entry.call(StoreCall(callClass, StoreCallKind.READ)) { order += callClass }
                }
                entry.run(500)
                order shouldBe listOf(StoreCallClass.FLEET, StoreCallClass.OTHER, StoreCallClass.CALLERS)
            }
        }
    })

/** An entry with a budget at a store that ends each call with [end] after [answerMs]. */
private class BudgetedEntry(
    entryCount: Int,
    private val answerMs: Long = 4,
    rates: StoreRates = StoreRates(),
) {
    private val time = SimTime()
    private val loop = SimLoop(time)
    val lines = ArrayList<String>()
    private val meter = StoreCallMeter(loop, { event, fields -> lines += "$event ${fields.joinToString(" ")}" }) { _, _ -> }
    private val budget =
        StoreBudget(
            loop,
            rates,
            { entryCount },
            meter,
            { event, fields -> lines += "$event ${fields.joinToString(" ")}" },
            Random(1),
        )
    private var lastOnEnd: (StoreCallEnd) -> Unit = {}
    var end: StoreCallEnd = StoreCallEnd.Answered
    var sentCount = 0
    var inFlightCount = 0
    var longestWaitMs = 0L

    /** How long each withheld call had waited, and the delay that it was told. */
    val withheld = ArrayList<Pair<Long, Long>>()

    fun call(
        call: StoreCall,
        onSent: () -> Unit = {},
    ) {
        val sinceMs = loop.nowMs
        budget.pass(call, { withheld += loop.nowMs - sinceMs to checkNotNull(it.retryAfterMs) }) { onEnd ->
            onSent()
            lastOnEnd = onEnd
            longestWaitMs = maxOf(longestWaitMs, loop.nowMs - sinceMs)
            sentCount++
            inFlightCount++
            loop.after(answerMs) {
                inFlightCount--
                onEnd(end)
            }
        }
    }

    /** A read shows that the last call was carried out. */
    fun readBack() = lastOnEnd(StoreCallEnd.ReadBack)

    fun every(
        intervalMs: Long,
        forMs: Long,
        action: () -> Unit,
    ) = repeat((forMs / intervalMs).toInt()) {
        action()
        run(intervalMs)
    }

    fun run(durationMs: Long) = time.runUntil(time.nowMs + durationMs)
}
