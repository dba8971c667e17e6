/*
 * An owner whose reads of single rows and tables a test can refuse, with one worker that carries out all orders at once.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.accounts.JobAccess
import io.corianderrock.jobs.entry.CallerAnswer
import io.corianderrock.jobs.entry.StoredJobService
import io.corianderrock.jobs.ownership.EarlierOwner
import io.corianderrock.jobs.ownership.OwnerRow
import io.corianderrock.jobs.ports.AdviceAnswer
import io.corianderrock.jobs.ports.ChangeResult
import io.corianderrock.jobs.ports.EndRow
import io.corianderrock.jobs.ports.HoldOrder
import io.corianderrock.jobs.ports.Instance
import io.corianderrock.jobs.ports.InstanceOrderAnswer
import io.corianderrock.jobs.ports.InstanceService
import io.corianderrock.jobs.ports.JobTables
import io.corianderrock.jobs.ports.PaceOrder
import io.corianderrock.jobs.ports.ReadResult
import io.corianderrock.jobs.ports.RowChange
import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.ports.RunningRow
import io.corianderrock.jobs.ports.StartOrder
import io.corianderrock.jobs.ports.StopOrder
import io.corianderrock.jobs.ports.StoredRow
import io.corianderrock.jobs.ports.Table
import io.corianderrock.jobs.ports.WorkerAnswer
import io.corianderrock.jobs.ports.WorkerEntry
import io.corianderrock.jobs.ports.WorkerLink
import io.corianderrock.jobs.runs.Scheduler
import io.corianderrock.jobs.runs.SchedulerBounds
import io.corianderrock.jobs.runs.SchedulerPorts
import io.corianderrock.jobs.runs.storedJson
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.JobSubmission
import io.corianderrock.jobs.state.Queue
import io.corianderrock.jobs.state.Step
import io.corianderrock.jobs.state.TaskId
import io.corianderrock.jobs.world.SilentTables
import io.corianderrock.jobs.world.SimLoop
import io.corianderrock.jobs.world.SimTime

/** The owner's scheduler, its store and its worker, and the store as another entry sees it. */
internal class InboxOfOneOwner(
    hadEarlierOwner: Boolean = false,
    storedBefore: List<JobSubmission> = emptyList(),
    /** Further rows that are stored before the owner starts. */
    rowsBefore: Map<RowKey, String> = emptyMap(),
    bounds: SchedulerBounds = SchedulerBounds(),
    /** True for the tables that the store does not let the owner scan. */
    var refusesScan: (Table) -> Boolean = { false },
) {
    val time = SimTime()
    val loop = SimLoop(time)
    private val startedAtMs = time.nowMs
    private val stored = HashMap<RowKey, StoredRow>()
    private var version = 1L

    /** True for the reads of a row by the owner that the store refuses. */
    var refusesRead: (RowKey) -> Boolean = { false }

    /** The time after which the store carries out a change of the owner, without an answer; null for the changes that it answers. */
    var losesCommit: (RowChange) -> Long? = { null }

    /** How many reads of single rows the owner has sent. */
    var readCount = 0
        private set

    /** The tasks that the worker runs, by a start of this owner or an earlier one, with the times at which they started. */
    val running = LinkedHashMap<TaskId, Long>()
    private val runNumbers = HashMap<TaskId, Long>()

    /** The ends that the worker lists. */
    var endedRows = emptyList<EndRow>()

    /** The highest end that a hold has acknowledged. */
    var acknowledgedEnd = 0L
        private set

    /** The times at which the worker was told to start a task. */
    val startsAtMs = ArrayList<Long>()

    /** The store as an entry that is not refused sees it. */
    private val store =
        object : JobTables by SilentTables {
            override fun commit(
                change: RowChange,
                onResult: (ChangeResult) -> Unit,
            ) = time.after(STORE_MS) {
                val result = apply(change)
                loop.after(STORE_MS) { onResult(result) }
            }

            override fun read(
                key: RowKey,
                onResult: (ReadResult) -> Unit,
            ) = answer(onResult) { listOfNotNull(stored[key]) }

            override fun scan(
                table: Table,
                onResult: (ReadResult) -> Unit,
            ) = answer(onResult) { rowsOf(table) }

            override fun scanPage(
                table: Table,
                after: String?,
                onResult: (ReadResult) -> Unit,
            ) = time.after(2 * STORE_MS) {
                val rows = rowsOf(table).filter { after == null || it.key.key > after }
                val page = rows.take(PAGE_ROWS)
                onResult(ReadResult.Rows(page, version, time.nowMs, lastKey = if (page.size < rows.size) page.last().key.key else null))
            }
        }

    private val ownersTables =
        object : JobTables by store {
            override fun commit(
                change: RowChange,
                onResult: (ChangeResult) -> Unit,
            ) {
                val lateMs = losesCommit(change) ?: return store.commit(change, onResult)
                time.after(lateMs) { apply(change) }
                loop.after(TIMEOUT_MS) { onResult(ChangeResult.Failed("no answer", mayHaveApplied = true)) }
            }

            override fun read(
                key: RowKey,
                onResult: (ReadResult) -> Unit,
            ) {
                readCount++
                if (refusesRead(key)) loop.after(STORE_MS) { onResult(REFUSED) } else store.read(key, onResult)
            }

            override fun scan(
                table: Table,
                onResult: (ReadResult) -> Unit,
            ) = if (refusesScan(table)) loop.after(STORE_MS) { onResult(REFUSED) } else store.scan(table, onResult)

            override fun scanPage(
                table: Table,
                after: String?,
                onResult: (ReadResult) -> Unit,
            ) = if (refusesScan(table)) loop.after(STORE_MS) { onResult(REFUSED) } else store.scanPage(table, after, onResult)
        }

    /** An entry that cannot reach the owner. */
    val otherEntry = StoredJobService(loop, store)
    private val owner = OwnerRow("owner", "owner", epoch = 2, heartbeat = 1)
    val scheduler: Scheduler

    init {
        for (job in storedBefore) put(RowKey(Table.JOBS, job.id), storedJson.encodeToString(JobSubmission.serializer(), job))
        rowsBefore.forEach(::put)
        put(OwnerRow.KEY, owner.encode())
        val ports =
            SchedulerPorts(
                loop = loop,
                tables = ownersTables,
                workers = OneWorker(),
                instances = NoInstances,
                advice = { _, _, onAnswer -> onAnswer(AdviceAnswer(null, 0)) },
                log = { _, _ -> },
                configuration = { null },
                waves = { emptyList() },
            )
        val earlier = EarlierOwner(hadEarlierOwner, isSameEntry = false, lastWriteByMs = time.nowMs, hasStopped = true)
        scheduler = Scheduler(ports, bounds, owner, version, earlier) {}
        scheduler.onWorkerListed(WORKER)
        scheduler.start()
    }

    fun pass(durationMs: Long) = time.runUntil(time.nowMs + durationMs)

    /** Stores [job] through another entry, which cannot reach the owner. */
    fun storeElsewhere(job: JobSubmission) = otherEntry.submit(job) { check(it is CallerAnswer.Applied) }

    /** Stores the cancellation of [job] through another entry. */
    fun cancelElsewhere(job: JobSubmission) = otherEntry.cancel(job.id, JobAccess.ALL) { check(it is CallerAnswer.Applied) }

    fun put(
        key: RowKey,
        value: String,
    ) = apply(RowChange(puts = mapOf(key to value)))

    /** Asks the entry that cannot reach the owner for the state of [job]. */
    fun askElsewhere(job: JobSubmission): CallerAnswer? {
        var answer: CallerAnswer? = null
        otherEntry.state(job.id, job.queue.name, JobAccess.ALL) { answer = it }
        pass(ASK_MS)
        return answer
    }

    fun isStored(key: RowKey): Boolean = key in stored

    /** All rows but those of the owner and the worker, for a later owner. */
    fun rowsOfJobs(): Map<RowKey, String> =
        stored.filterKeys { it.table != Table.OWNERS && it.table != Table.WORKER_LEASES }.mapValues { it.value.value }

    fun countOf(table: Table): Int = rowsOf(table).size

    private fun rowsOf(table: Table) = stored.values.filter { it.key.table == table }.sortedBy { it.key.key }

    private fun apply(change: RowChange): ChangeResult {
        val isMet = change.expected.all { (key, expected) -> (stored[key]?.version ?: 0) == expected }
        if (!isMet) return ChangeResult.Conflict(change.expected.keys.mapNotNull { stored[it] })
        version++
        change.puts.forEach { (key, value) -> stored[key] = StoredRow(key, value, version) }
        change.deletes.forEach(stored::remove)
        return ChangeResult.Committed(version, time.nowMs)
    }

    private fun answer(
        onResult: (ReadResult) -> Unit,
        rows: () -> List<StoredRow>,
    ) = time.after(STORE_MS) {
        val result = ReadResult.Rows(rows(), version, time.nowMs)
        loop.after(STORE_MS) { onResult(result) }
    }

    /** Its tasks run until they are stopped. */
    private inner class OneWorker : WorkerLink {
        private val clockMs get() = time.nowMs - startedAtMs

        override fun start(
            entry: WorkerEntry,
            order: StartOrder,
            onAnswer: (WorkerAnswer) -> Unit,
        ) {
            startsAtMs.add(time.nowMs)
            running[order.task] = time.nowMs
            runNumbers[order.task] = order.runNumber
            loop.after(1) { onAnswer(WorkerAnswer.Done(clockMs)) }
        }

        override fun stop(
            entry: WorkerEntry,
            order: StopOrder,
            onAnswer: (WorkerAnswer) -> Unit,
        ) {
            running.remove(order.task)
            loop.after(1) { onAnswer(WorkerAnswer.Done(clockMs)) }
        }

        override fun pace(
            entry: WorkerEntry,
            order: PaceOrder,
            onAnswer: (WorkerAnswer) -> Unit,
        ) {
            loop.after(1) { onAnswer(WorkerAnswer.Done(clockMs)) }
        }

        override fun hold(
            entry: WorkerEntry,
            order: HoldOrder,
            onAnswer: (WorkerAnswer) -> Unit,
        ) = loop.after(maxOf(1L, order.waitMs.toLong())) {
            acknowledgedEnd = maxOf(acknowledgedEnd, order.acknowledgedEnd)
            val rows = running.keys.map { RunningRow(it, runNumbers[it] ?: EARLIER_RUN, checkpoint = "", percent = 100) }
            onAnswer(WorkerAnswer.Listed(clockMs, WORKER.bornWallMs, rows, endedRows))
        }
    }

    private object NoInstances : InstanceService {
        override fun list(onResult: (List<Instance>?) -> Unit) = Unit

        override fun move(
            instanceId: String,
            pool: String,
            token: Long,
            onAnswer: (InstanceOrderAnswer) -> Unit,
        ) = Unit

        override fun maintain(
            instanceId: String,
            waveNumber: Int,
            token: Long,
            onAnswer: (InstanceOrderAnswer) -> Unit,
        ) = Unit
    }

    companion object {
        val JOB = JobSubmission("job", Queue("queue", "pool"), "spec", listOf(Step(2, Demand(1_000, 100))))
        private val REFUSED = ReadResult.Failed("status 429")
        private val WORKER =
            WorkerEntry("w", "w", "pool", "dc", "i", Demand(8_000, 32_000), emptyList(), false, null, bornWallMs = 1)

        /** The number of runs that an earlier owner has started. */
        private const val EARLIER_RUN = 1L

        /** Time in which a query is answered. */
        private const val ASK_MS = 100L

        /** Rows of a page. */
        private const val PAGE_ROWS = 3

        /** Time after which a call without an answer is given up. */
        private const val TIMEOUT_MS = 900L

        /** Half of the time that a call to the store takes. */
        private const val STORE_MS = 2L
    }
}
