/*
 * Carries out maintenance waves: each instance of a wave is emptied and maintained once, at most as many at a time as
 * the wave allows, instances in standby and empty ones first.
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

/** The stored progress of a wave. */
@Serializable
internal data class WaveRow(
    val number: Int,
    @SerialName("doneMachineIds") val doneInstanceIds: List<String>,
    /** When the first owner began with the wave. */
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
    private class WaveProgress {
        val done = LinkedHashSet<String>()
        var startedWallMs = 0L
        var isActivePublished = false
        var isCompletePublished = false
        var isPublishing = false
    }

    private val progress = HashMap<Int, WaveProgress>()

    fun load(rows: List<StoredRow>) {
        for (row in rows) {
            val stored = decodeStored(WaveRow.serializer(), row.value) ?: continue
            val state = progress.getOrPut(stored.number) { WaveProgress() }
            state.done.addAll(stored.doneInstanceIds)
            state.startedWallMs = stored.startedWallMs
        }
    }

    fun tick() {
        if (!fleet.isReady) return
        for (wave in waves()) {
            val state = progress.getOrPut(wave.number) { WaveProgress() }
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
        storedJson.encodeToString(WaveRow.serializer(), WaveRow(wave.number, state.done.toList(), state.startedWallMs))
    }

    private fun advance(
        wave: MaintenanceWave,
        state: WaveProgress,
    ) {
        val present = wave.instanceIds.mapNotNull(fleet::find)
        val known =
            present.filter {
                it.instance.state == InstanceState.MAINTENANCE || it.isOrdered && it.setAside == SetAsideReason.MAINTENANCE
            }
        val inProgress = known.size + fleet.inheritedMaintenanceCount(wave.number, known)
        val due = present.filter { it.instance.id !in state.done }
        if (due.isEmpty() && inProgress == 0) {
            publish(wave, state, isComplete = true)
            return
        }
        if (!state.isActivePublished) publish(wave, state, isComplete = false)
        var slots = wave.maxConcurrent - inProgress
        val chosen = due.filter { it.setAside == SetAsideReason.MAINTENANCE }
        for (view in chosen) {
            val worker = fleet.workerOf(view)
            if (worker != null) {
                fleet.drainer.evictLongRunning(worker)
                fleet.drainer.evictSaving(worker, fleet.workersOf(view.instance.pool))
            }
            if (slots <= 0 || !fleet.isOrderable(view) || view.instance.state != InstanceState.UP) continue
            if (!fleet.isSurelyEmpty(view)) continue
            slots--
            maintain(wave, state, view)
        }
        choose(wave, state, due, slots - chosen.count { !it.isOrdered })
    }

    /** Demand moves between pools, so that most instances are idle at some time: busy ones are disturbed only later. */
    private fun choose(
        wave: MaintenanceWave,
        state: WaveProgress,
        due: List<InstanceView>,
        slots: Int,
    ) {
        val free = due.filter { it.setAside != SetAsideReason.MAINTENANCE && !it.isOrdered && it.instance.state == InstanceState.UP }
        val isPatient = loop.wallMs - state.startedWallMs < wave.durationS * MS_PER_S * PATIENT_SHARE
        val candidates = if (isPatient) free.filter(fleet::isSurelyEmpty) else free
        val ordered = candidates.sortedBy { fleet.workerOf(it)?.occupied?.cpuMilli ?: -1 }
        for (view in ordered.take(maxOf(0, slots))) {
            log.write("wave_chooses", "wave", wave.number, "instance", view.instance.id, "pool", view.instance.pool, "due", due.size)
            fleet.setAside(view, SetAsideReason.MAINTENANCE)
        }
    }

    private fun maintain(
        wave: MaintenanceWave,
        state: WaveProgress,
        view: InstanceView,
    ) {
        fleet.maintain(view, wave.number) { answer ->
            val isForeign = answer is InstanceOrderAnswer.Refused && answer.reason == NOT_OF_WAVE
            if (answer !is InstanceOrderAnswer.Accepted && !isForeign) return@maintain
            state.done.add(view.instance.id)
            if (isForeign) fleet.release(view)
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
            log.write("wave_published", "wave", wave.number, "complete", isComplete, "done", state.done.size)
            if (isComplete) state.isCompletePublished = true else state.isActivePublished = true
        }
    }

    private companion object {
        /** Share of a wave's time in which only empty instances are chosen. */
        const val PATIENT_SHARE = 0.35
        const val MS_PER_S = 1_000

        /** The platform's reason for an instance that is not due in the wave. */
        const val NOT_OF_WAVE = "wave"
    }
}
