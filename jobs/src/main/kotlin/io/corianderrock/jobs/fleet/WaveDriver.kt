/*
 * Carries out maintenance waves: drains and maintains each instance of a wave once, at most `maxConcurrent` at a time,
 * starting with instances that are in standby or empty.
 */
package io.corianderrock.jobs.fleet

import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.ports.InstanceOrderAnswer
import io.corianderrock.jobs.ports.InstanceState
import io.corianderrock.jobs.ports.JobTables
import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.ports.StoredRow
import io.corianderrock.jobs.ports.Table
import io.corianderrock.jobs.runs.Committer
import io.corianderrock.jobs.runs.decodeStored
import io.corianderrock.jobs.runs.storedJson
import io.corianderrock.jobs.state.MaintenanceWave
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Stored progress of a wave. */
@Serializable
internal data class WaveRow(
    val number: Int,
    @SerialName("doneMachineIds") val completedInstanceIds: List<String>,
    /** Wall-clock time at which the first owner began the wave. */
    val startedWallMs: Long = 0,
)

internal class WaveDriver(
    private val loop: EventLoop,
    private val fleet: FleetController,
    private val tables: JobTables,
    private val committer: Committer,
    private val log: DecisionLog,
    private val waves: () -> List<MaintenanceWave>,
) {
    private class WaveProgress(
        /** Loop time at which this owner first saw the wave. */
        val seenAtMs: Long,
    ) {
        /** Instances that were maintained, or that the platform does not count to the wave. */
        val completedIds = LinkedHashSet<String>()
        var startedWallMs = 0L
        var isActivePublished = false
        var isCompletePublished = false
        var isPublishing = false
    }

    private val progress = HashMap<Int, WaveProgress>()

    fun load(rows: List<StoredRow>) {
        for (row in rows) {
            val stored = decodeStored(WaveRow.serializer(), row.value) ?: continue
            val state = progress.getOrPut(stored.number) { WaveProgress(loop.nowMs) }
            state.completedIds.addAll(stored.completedInstanceIds)
            state.startedWallMs = stored.startedWallMs
        }
    }

    fun tick() {
        if (!fleet.isReady) return
        for (wave in waves()) {
            val state = progress.getOrPut(wave.number) { WaveProgress(loop.nowMs) }
            if (state.isCompletePublished) continue
            if (state.startedWallMs == 0L) begin(wave, state)
            advance(wave, state)
        }
    }

    private fun begin(
        wave: MaintenanceWave,
        state: WaveProgress,
    ) {
        state.startedWallMs = loop.wallMs
        store(wave, state)
    }

    private fun store(
        wave: MaintenanceWave,
        state: WaveProgress,
    ) = committer.put(RowKey(Table.WAVES, wave.number.toString())) {
        storedJson.encodeToString(WaveRow.serializer(), WaveRow(wave.number, state.completedIds.toList(), state.startedWallMs))
    }

    private fun advance(
        wave: MaintenanceWave,
        state: WaveProgress,
    ) {
        val present = wave.instanceIds.mapNotNull(fleet::find)
        val inMaintenance =
            present.filter {
                it.instance.state == InstanceState.MAINTENANCE || it.isOrdered && it.cordonReason == CordonReason.MAINTENANCE
            }
        val inProgress = inMaintenance.size + fleet.inheritedMaintenanceCount(wave.number, inMaintenance)
        val due = present.filter { it.instance.id !in state.completedIds }
        if (due.isEmpty() && inProgress == 0) {
            // The wave may name an instance that was added after the last list was requested.
            val areAllKnown = present.size == wave.instanceIds.size || fleet.isListedSince(state.seenAtMs)
            if (areAllKnown) publish(wave, state, isComplete = true)
            return
        }
        if (!state.isActivePublished) publish(wave, state, isComplete = false)
        var slots = wave.maxConcurrent - inProgress
        val cordoned = due.filter { it.cordonReason == CordonReason.MAINTENANCE }
        for (view in cordoned) {
            val worker = fleet.workerOf(view)
            if (worker != null) {
                fleet.drainer.evictLongRunning(worker)
                fleet.drainer.evictCheckpointing(worker, fleet.workersOf(view.instance.pool))
            }
            if (slots <= 0 || !fleet.isOrderable(view) || view.instance.state != InstanceState.UP) continue
            if (!fleet.isConfirmedEmpty(view)) continue
            slots--
            maintain(wave, state, view)
        }
        cordonNext(wave, state, due, slots - cordoned.count { !it.isOrdered })
    }

    /**
     * Cordons up to [slots] more instances, for the first part of the wave only empty ones: demand rotates between pools,
     * so most instances become empty by themselves and need not be drained.
     */
    private fun cordonNext(
        wave: MaintenanceWave,
        state: WaveProgress,
        due: List<InstanceView>,
        slots: Int,
    ) {
        val free = due.filter { it.cordonReason != CordonReason.MAINTENANCE && !it.isOrdered && it.instance.state == InstanceState.UP }
        val isIdleOnlyPhase = loop.wallMs - state.startedWallMs < wave.durationS * MS_PER_S * IDLE_ONLY_SHARE
        val candidates = if (isIdleOnlyPhase) free.filter(fleet::isConfirmedEmpty) else free
        val ordered = candidates.sortedBy { fleet.workerOf(it)?.occupied?.cpuMilli ?: -1 }
        var slotsLeft = slots
        for (view in ordered) {
            if (slotsLeft <= 0) break
            if (mustStayOpen(view, due)) continue
            slotsLeft--
            log.write("wave_chooses", "wave", wave.number, "instance", view.instance.id, "pool", view.instance.pool, "due", due.size)
            fleet.cordon(view, CordonReason.MAINTENANCE)
        }
    }

    /**
     * True while a long-running task waits for one of the open workers, or if no other worker of the pool is open, because of the wave with the instances [due] or because there is none, unless
     * [view] alone may be emptied: tasks that are evicted would have no place, and those that may not be evicted besides would keep
     * the instance from being maintained.
     */
    private fun mustStayOpen(
        view: InstanceView,
        due: List<InstanceView>,
    ): Boolean {
        val worker = fleet.workerOf(view) ?: return false
        val pool = view.instance.pool
        val openWorkers = fleet.workersOf(pool)
        if (fleet.needsAllForLongRunning(pool, openWorkers.size)) return true
        if (openWorkers.any { it !== worker }) return false
        val isPoolInWave = due.any { it !== view && it.instance.pool == pool && it.cordonReason == CordonReason.MAINTENANCE }
        return isPoolInWave || !fleet.drainer.mayEvictAll(worker)
    }

    private fun maintain(
        wave: MaintenanceWave,
        state: WaveProgress,
        view: InstanceView,
    ) {
        fleet.maintain(view, wave.number) { answer ->
            val isNotOfWave = answer is InstanceOrderAnswer.Refused && answer.reason == NOT_OF_WAVE
            if (answer !is InstanceOrderAnswer.Accepted && !isNotOfWave) return@maintain
            state.completedIds.add(view.instance.id)
            if (isNotOfWave) fleet.uncordon(view)
            store(wave, state)
        }
    }

    private fun publish(
        wave: MaintenanceWave,
        state: WaveProgress,
        isComplete: Boolean,
    ) {
        if (state.isPublishing) return
        state.isPublishing = true
        tables.publishWave(wave.number, isComplete) { isStored ->
            state.isPublishing = false
            if (!isStored) return@publishWave
            log.write("wave_published", "wave", wave.number, "complete", isComplete, "completedInstances", state.completedIds.size)
            if (isComplete) state.isCompletePublished = true else state.isActivePublished = true
        }
    }

    private companion object {
        /** Share of the duration of a wave during which only empty instances are cordoned. */
        const val IDLE_ONLY_SHARE = 0.35
        const val MS_PER_S = 1_000

        /** The platform's refusal reason for an instance that is not due in the wave. */
        const val NOT_OF_WAVE = "wave"
    }
}
