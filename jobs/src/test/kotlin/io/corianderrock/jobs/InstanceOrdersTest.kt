/*
 * Takeovers during a demand peak. Guards against a new owner that takes all instances ordered by a failed one for ordered just before its
 * failure: it then lacks them for seconds in the peak. Also guards against orders of a slow owner that arrive after a successor has
 * counted them as over.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.fleet.InstanceOrders
import io.corianderrock.jobs.ownership.OwnerRow
import io.corianderrock.jobs.ports.ChangeResult
import io.corianderrock.jobs.ports.JobTables
import io.corianderrock.jobs.ports.ReadResult
import io.corianderrock.jobs.ports.RowChange
import io.corianderrock.jobs.ports.StoredRow
import io.corianderrock.jobs.ports.Table
import io.corianderrock.jobs.runs.Committer
import io.corianderrock.jobs.runs.StoreClock
import io.corianderrock.jobs.runs.readClocks
import io.corianderrock.jobs.world.SilentTables
import io.corianderrock.jobs.world.SimLoop
import io.corianderrock.jobs.world.SimTime
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe

private const val KEEP_MS = 4_100L

/** The longest time that a successor waits when it does not know when orders were stored. */
private const val LONGEST_WAIT_MS = 6_000L

private const val STORE_CLOCK_OFFSET_MS = 77_000L

/** A store that shows its clock and answers transactions after [answerMs]. */
private class ClockedTables(
    private val time: SimTime,
    private val answerMs: Long,
) : JobTables by SilentTables {
    val rows = HashMap<String, StoredRow>()
    private var version = 0L

    override fun commit(
        change: RowChange,
        onResult: (ChangeResult) -> Unit,
    ) {
        version++
        change.puts.forEach { (key, value) -> if (key.table == Table.INSTANCE_ORDERS) rows[key.key] = StoredRow(key, value, version) }
        val result = ChangeResult.Committed(version, time.nowMs + STORE_CLOCK_OFFSET_MS)
        time.after(answerMs) { onResult(result) }
    }

    override fun scan(
        table: Table,
        onResult: (ReadResult) -> Unit,
    ) = onResult(ReadResult.Rows(rows.values.toList(), version, time.nowMs + STORE_CLOCK_OFFSET_MS))
}

/** Instance orders of one owner after another. */
private class Owners(
    answerMs: Long = 4,
    private val showsClock: Boolean = true,
) {
    val time = SimTime()
    private val tables = ClockedTables(time, answerMs)
    private val clocks = HashMap<InstanceOrders, StoreClock>()
    val sent = ArrayList<String>()
    val abandoned = ArrayList<String>()

    fun ordersOf(
        name: String,
        epoch: Long,
    ): InstanceOrders {
        val loop = SimLoop(time)
        val clock = StoreClock(loop)
        val owner = OwnerRow(name, name, epoch, 1)
        val observed = if (showsClock) clock.observing(tables) else tables
        val orders =
            InstanceOrders(
                loop = loop,
                committer = Committer(loop, observed, { _, _ -> }, owner, 1, { 0 }, {}),
                log = { _, _ -> },
                owner = owner,
                isSameEntry = false,
                storeClock = clock,
                keepMs = KEEP_MS,
                inheritedUntilMs = time.nowMs + LONGEST_WAIT_MS,
            )
        clocks[orders] = clock
        observed.scan(Table.INSTANCE_ORDERS) { orders.load((it as ReadResult.Rows).rows) }
        return orders
    }

    fun order(
        orders: InstanceOrders,
        instanceId: String,
    ) {
        // An owner reads from the store all the time, so that it knows the store's clock.
        if (showsClock) clocks[orders]?.observe(time.nowMs + STORE_CLOCK_OFFSET_MS, SimLoop(time).readClocks())
        orders.record(instanceId, waveNumber = null) { if (it) sent.add(instanceId) else abandoned.add(instanceId) }
        time.runUntil(time.nowMs + 1_000)
    }
}

internal class InstanceOrdersTest :
    DescribeSpec({
        describe("an owner that fails 3 s after it has ordered instances for a demand peak") {
            it("has a successor that orders them once the lease of each order is over") {
                val owners = Owners()
                val failed = owners.ordersOf("failed", 1)
                owners.order(failed, "early")
                owners.time.runUntil(owners.time.nowMs + 2_000)
                owners.order(failed, "late")
                val successor = owners.ordersOf("successor", 2)
                owners.time.runUntil(owners.time.nowMs + 1_600)
                listOf("early", "late").filter(successor::isInherited) shouldContainExactly listOf("late")
                owners.time.runUntil(owners.time.nowMs + 3_000)
                successor.isInherited("late") shouldBe false
            }
            it("has a successor that orders none of them within the lease after the last moment at which it may have been sent") {
                val owners = Owners()
                owners.order(owners.ordersOf("failed", 1), "i")
                val successor = owners.ordersOf("successor", 2)
                // The first owner may have sent the order up to 500 ms after its storing, 500 ms before this moment.
                owners.time.runUntil(owners.time.nowMs + KEEP_MS - 500 - 1)
                successor.isInherited("i") shouldBe true
            }
            it("has a successor that waits as long as any order may matter when the store does not show its clock") {
                val owners = Owners(showsClock = false)
                owners.order(owners.ordersOf("failed", 1), "i")
                val successor = owners.ordersOf("successor", 2)
                owners.time.runUntil(owners.time.nowMs + LONGEST_WAIT_MS - 1)
                successor.isInherited("i") shouldBe true
            }
        }
        describe("an owner whose store answers a write after 700 ms") {
            it("does not send the order, since its successor counts the lease from an earlier time") {
                val owners = Owners(answerMs = 700)
                val orders = owners.ordersOf("slow", 1)
                owners.order(orders, "i")
                owners.sent.shouldBeEmpty()
                owners.abandoned shouldContainExactly listOf("i")
            }
        }
    })
