/*
 * Writes of the owner while the store is slow. Rows of ended runs that queue up must not delay the acceptance of jobs; a steady
 * stream of new writes must not delay the release of the ownership, and jobs pending acceptance must be stored with it.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.ownership.OwnerRow
import io.corianderrock.jobs.ports.ChangeResult
import io.corianderrock.jobs.ports.JobTables
import io.corianderrock.jobs.ports.RowChange
import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.ports.Table
import io.corianderrock.jobs.runs.Committer
import io.corianderrock.jobs.world.SilentTables
import io.corianderrock.jobs.world.SimLoop
import io.corianderrock.jobs.world.SimTime
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe

/** Answers each transaction after [answerMs]. */
internal class SlowTables(
    private val time: SimTime,
    private val answerMs: Long = ANSWER_MS,
) : JobTables by SilentTables {
    val changes = ArrayList<RowChange>()

    override fun commit(
        change: RowChange,
        onResult: (ChangeResult) -> Unit,
    ) {
        changes.add(change)
        time.after(answerMs) { onResult(ChangeResult.Committed(changes.size.toLong())) }
    }
}

internal const val ANSWER_MS = 340L

/** Entries of one transaction that the platform's store accepts. */
private const val STORE_ENTRIES = 100

/** Two transactions take longer than the 800 ms after which a store without an answer counts as lost; one does not. */
private const val SLOW_ANSWER_MS = 500L
private const val TICK_MS = 50L

/** Rows of three transactions. */
private const val WAITING_ROWS = 300

private class ReleasingOwner(
    answerMs: Long = ANSWER_MS,
) {
    val time = SimTime()
    val tables = SlowTables(time, answerMs)
    val committer = Committer(SimLoop(time), tables, { _, _ -> }, OwnerRow("e", "e", 1, 1), 1, { 0 }, {})

    /** Adds a write every 20 ms, also after the release has begun. */
    fun addWritesPeriodically(remaining: Int = 500) {
        if (remaining == 0) return
        committer.put(RowKey(Table.PROGRESS, "job$remaining")) { "ended" }
        time.after(20) { addWritesPeriodically(remaining - 1) }
    }

    fun submit(
        id: String,
        onAccepted: () -> Unit = {},
    ) = committer.put(RowKey(Table.JOBS, id), mustBeAbsent = true, onStored = { onAccepted() }) { "new" }

    fun addProgressRows(count: Int) = repeat(count) { committer.put(RowKey(Table.PROGRESS, "ended$it")) { "ended" } }

    /** Renews the ownership as the scheduler's ticks do; false if the store counted as lost at any of them. */
    fun couldAlwaysWrite(forMs: Long): Boolean {
        var couldWrite = true
        repeat((forMs / TICK_MS).toInt()) {
            committer.renewIfDue()
            couldWrite = couldWrite && committer.canWrite
            time.runUntil(time.nowMs + TICK_MS)
        }
        return couldWrite
    }

    fun releaseTookMs(): Long {
        var releasedAtMs = Long.MAX_VALUE
        val startMs = time.nowMs
        committer.release { releasedAtMs = time.nowMs }
        time.runUntil(startMs + 5_000)
        return releasedAtMs - startMs
    }
}

/** A store that fails each transaction after 100 ms. */
private class LostStore(
    private val mayHaveApplied: Boolean,
) : JobTables by SilentTables {
    private val time = SimTime()
    private val committer = Committer(SimLoop(time), this, { _, _ -> }, OwnerRow("e", "e", 1, 1), 1, { 0 }, {})
    private val withdrawn = ArrayList<String>()
    val changes = ArrayList<RowChange>()

    override fun commit(
        change: RowChange,
        onResult: (ChangeResult) -> Unit,
    ) {
        changes.add(change)
        time.after(100) { onResult(ChangeResult.Failed("lost", mayHaveApplied)) }
    }

    fun withdrawnWithin(durationMs: Long): List<String> {
        submit("sent")
        time.runUntil(time.nowMs + TICK_MS)
        submit("waiting")
        repeat((durationMs / TICK_MS).toInt()) {
            committer.renewIfDue()
            time.runUntil(time.nowMs + TICK_MS)
        }
        return withdrawn
    }

    private fun submit(id: String) =
        committer.put(RowKey(Table.JOBS, id), mustBeAbsent = true, onWithdrawn = { withdrawn.add(id) }) { "new" }
}

internal class CommitterTest :
    DescribeSpec({
        describe("an owner with more rows than fit into one transaction while the store is slow") {
            it("stores a new job in its next transaction") {
                val owner = ReleasingOwner()
                owner.addProgressRows(WAITING_ROWS)
                owner.time.runUntil(owner.time.nowMs + ANSWER_MS / 2)
                var acceptedAtMs = Long.MAX_VALUE
                val sentAtMs = owner.time.nowMs
                owner.submit("job") { acceptedAtMs = owner.time.nowMs }
                owner.time.runUntil(sentAtMs + 5_000)
                acceptedAtMs - sentAtMs shouldBeLessThan 2 * ANSWER_MS + 50
            }
            it("fills each transaction up to the entries that the store accepts") {
                val owner = ReleasingOwner()
                owner.addProgressRows(WAITING_ROWS)
                repeat(WAITING_ROWS) { owner.submit("new$it") }
                owner.time.runUntil(owner.time.nowMs + 20 * ANSWER_MS)
                val entryCounts = owner.tables.changes.map { it.expected.size + it.puts.size + it.deletes.size }
                val full = entryCounts.filter { it > 2 }.dropLast(1)
                full.forEach { (it in STORE_ENTRIES - 1..STORE_ENTRIES).shouldBeTrue() }
                entryCounts.sumOf { it - 2 } shouldBe 3 * WAITING_ROWS
            }
        }
        describe("an owner whose transactions all succeed, but slowly") {
            it("can write") {
                val owner = ReleasingOwner(answerMs = SLOW_ANSWER_MS)
                owner.addWritesPeriodically()
                owner.couldAlwaysWrite(forMs = 10 * SLOW_ANSWER_MS).shouldBeTrue()
            }
        }
        describe("an owner whose store is lost while one job is in flight and one waits") {
            // Guards against callers who are told that the outcome is open although nothing was sent.
            it("gives up the job that it has not sent, and no job that may be stored still") {
                LostStore(mayHaveApplied = true).withdrawnWithin(1_000) shouldBe listOf("waiting")
            }
            it("gives up both when each attempt was certainly not applied, and writes neither afterwards") {
                val store = LostStore(mayHaveApplied = false)
                store.withdrawnWithin(1_000) shouldBe listOf("waiting", "sent")
                store.changes
                    .last()
                    .puts.keys shouldBe setOf(OwnerRow.KEY)
            }
        }
        describe("a job that is submitted again while it is being stored") {
            it("is accepted with the write in flight, and not written twice") {
                val owner = ReleasingOwner()
                val acceptedAtMs = ArrayList<Long>()
                owner.submit("job") { acceptedAtMs.add(owner.time.nowMs) }
                owner.time.runUntil(owner.time.nowMs + ANSWER_MS / 2)
                owner.submit("job") { acceptedAtMs.add(owner.time.nowMs) }
                owner.time.runUntil(owner.time.nowMs + 5 * ANSWER_MS)
                acceptedAtMs.size shouldBe 2
                acceptedAtMs.distinct().size shouldBe 1
                owner.tables.changes.count { RowKey(Table.JOBS, "job") in it.puts } shouldBe 1
            }
        }
        describe("a row that is written again while its deletion waits") {
            // Guards against a worker that gets runs without a stored row, so that the next owner does not ask it.
            it("has the later value") {
                val owner = ReleasingOwner()
                val key = RowKey(Table.WORKER_LEASES, "worker")
                owner.committer.put(key) { null }
                owner.committer.put(key) { "row" }
                owner.time.runUntil(owner.time.nowMs + 2 * ANSWER_MS)
                owner.tables.changes.mapNotNull { it.puts[key] } shouldBe listOf("row")
            }
        }
        describe("an owner that releases its ownership while the store is slow and writes keep arriving") {
            it("releases the ownership in its next transaction") {
                val owner = ReleasingOwner()
                owner.addWritesPeriodically()
                owner.time.runUntil(owner.time.nowMs + 1_000)
                owner.releaseTookMs() shouldBeLessThan 2 * ANSWER_MS + 50
                val last =
                    OwnerRow.decode(
                        owner.tables.changes
                            .last()
                            .puts
                            .getValue(OwnerRow.KEY),
                    )
                last?.holder shouldBe ""
            }
            it("stores jobs pending acceptance in the same transaction") {
                val owner = ReleasingOwner()
                owner.addWritesPeriodically()
                owner.time.runUntil(owner.time.nowMs + 1_000)
                var isAccepted = false
                owner.committer.put(RowKey(Table.JOBS, "job"), mustBeAbsent = true, onStored = { isAccepted = true }) { "new" }
                owner.releaseTookMs()
                isAccepted.shouldBeTrue()
            }
        }
    })
