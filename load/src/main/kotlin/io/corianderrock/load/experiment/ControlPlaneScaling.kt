/*
 * Scaling of the control plane with the numbers of instances and pools: time, serialized size and memory at three values of
 * each.
 */
package io.corianderrock.load.experiment

import io.corianderrock.coordination.Clock
import io.corianderrock.coordination.MemoryPlatform
import io.corianderrock.coordination.lease.ControllerLease
import io.corianderrock.coordination.maintenance.Controller
import io.corianderrock.coordination.maintenance.OperatorActions
import io.corianderrock.coordination.maintenance.OperatorResult
import io.corianderrock.coordination.maintenance.WaveAction
import io.corianderrock.state.BudgetSpec
import io.corianderrock.state.Configuration
import io.corianderrock.state.Declarations
import io.corianderrock.state.FleetView
import io.corianderrock.state.InstancePhase
import io.corianderrock.state.InstanceRole
import io.corianderrock.state.InstanceRow
import io.corianderrock.state.ListedInstance
import io.corianderrock.state.ListedState
import io.corianderrock.state.PoolSpec
import io.corianderrock.state.ServiceSpec
import io.corianderrock.state.WaveSpec
import io.corianderrock.state.buildRoutingTable
import kotlinx.serialization.json.Json
import java.util.UUID

internal class ControlPlaneScaling : Experiment {
    override val name = "slopes"
    override val summary = "time, bytes and memory of the control plane by number of instances and pools"

    override fun run(seed: Long): ExperimentFindings {
        val variants = INSTANCE_COUNTS.map { measure(it, POOL_COUNTS.last()) } + POOL_COUNTS.map { measure(INSTANCE_COUNTS.last(), it) }
        return ExperimentFindings(variants, emptyList())
    }

    private fun measure(
        instances: Int,
        pools: Int,
    ): VariantResult {
        val declarations = declarations(instances, pools)
        val listed = listedInstances(instances)
        val rows = listed.map { instanceRow(it, pools) }
        val figures =
            mapOf(
                "routing table, ms" to routingTableMs(declarations, listed, rows),
                "controller round in a wave, ms" to controllerRoundMs(declarations, listed),
                "bytes of a row" to jsonBytes(rows.first()),
                "bytes of a listed instance" to jsonBytes(listed.first()),
                "bytes of the declarations" to Json.encodeToString(Declarations.serializer(), declarations).length.toDouble(),
                "memory of one data centre's view, MB" to fleetViewMb(listed, rows),
            )
        return VariantResult("control", "$instances instances, $pools pools", figures = figures)
    }

    private fun declarations(
        instances: Int,
        pools: Int,
    ): Declarations {
        val names = (0 until pools).map { "pool-$it" }
        val workersPerDataCentre = (instances / pools / DATA_CENTRES).coerceAtLeast(1)
        return Declarations(
            pools = names.map { PoolSpec(it, workersPerDataCentre) },
            services = names.map { ServiceSpec(it, it, pathPrefix = "/$it") },
            budgets = names.map { BudgetSpec("$it-budget", it, DATA_CENTRES, 1) },
            waves = listOf(WaveSpec("update", names)),
        )
    }

    private fun listedInstances(instances: Int): List<ListedInstance> =
        (0 until instances).map { index ->
            val dataCentre = "dc-${index % DATA_CENTRES}"
            ListedInstance("worker-$index", InstanceRole.WORKER, dataCentre, "rack-${index / 32}", "127.0.0.1", 1_024, ListedState.LIVE)
        }

    private fun instanceRow(
        instance: ListedInstance,
        pools: Int,
    ): InstanceRow {
        val number = instance.id.substringAfter('-').toInt()
        return InstanceRow(
            instance.id,
            instance.dataCentre,
            instance.rack,
            "pool-${number / DATA_CENTRES % pools}",
            1,
            InstancePhase.ASSIGNED,
        )
    }

    private fun routingTableMs(
        declarations: Declarations,
        listed: List<ListedInstance>,
        rows: List<InstanceRow>,
    ): Double {
        val configuration = Configuration(1, "blob", "change", "author", declarations)
        val fleet = FleetView(listed.associateBy { it.id }, rows.associateBy { it.id })
        return medianMs { buildRoutingTable(configuration, fleet, "dc-0", nowMs = 0) }
    }

    private fun controllerRoundMs(
        declarations: Declarations,
        listed: List<ListedInstance>,
    ): Double {
        val platform = MemoryPlatform()
        platform.publishInstances(listed)
        val newId = { UUID.randomUUID().toString() }
        val lease = checkNotNull(ControllerLease(platform, Clock.SYSTEM, "self", newId = newId).renewOrAcquire())
        val controller = Controller(platform, Clock.SYSTEM, "self", { _, _ -> false }, { _, _ -> false }, ::emptySet, newId)
        controller.reconcile(declarations, lease)
        controller.reconcile(declarations, lease)
        val started =
            OperatorActions(platform, Clock.SYSTEM, ::emptySet, newId).changeWave(declarations, "update", WaveAction.START, "self")
        check(started is OperatorResult.Done) { "wave 'update' could not be started: $started" }
        controller.reconcile(declarations, lease)
        return medianMs { check(controller.reconcile(declarations, lease)) }
    }

    private fun fleetViewMb(
        listed: List<ListedInstance>,
        rows: List<InstanceRow>,
    ): Double {
        val listedJson = listed.map { Json.encodeToString(ListedInstance.serializer(), it) }
        val rowJson = rows.map { Json.encodeToString(InstanceRow.serializer(), it) }
        val usedBefore = usedBytes()
        val view =
            FleetView(
                listed = listedJson.map { Json.decodeFromString(ListedInstance.serializer(), it) }.associateBy { it.id },
                rows = rowJson.map { Json.decodeFromString(InstanceRow.serializer(), it) }.associateBy { it.id },
            )
        val viewBytes = usedBytes() - usedBefore
        check(view.rows.size == rows.size)
        return viewBytes.toDouble() / BYTES_PER_MB / DATA_CENTRES
    }

    private fun usedBytes(): Long {
        repeat(GC_PASSES) { System.gc() }
        return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
    }

    private fun jsonBytes(row: InstanceRow): Double = Json.encodeToString(InstanceRow.serializer(), row).length.toDouble()

    private fun jsonBytes(instance: ListedInstance): Double = Json.encodeToString(ListedInstance.serializer(), instance).length.toDouble()

    private fun medianMs(action: () -> Unit): Double {
        repeat(WARM_UP_CALLS) { action() }
        val times =
            (1..SAMPLES).map {
                val startNs = System.nanoTime()
                action()
                (System.nanoTime() - startNs) / NS_PER_MS
            }
        return times.sorted()[SAMPLES / 2]
    }

    private companion object {
        val INSTANCE_COUNTS = listOf(1_000, 4_000, 11_000)
        val POOL_COUNTS = listOf(11, 44, 88)
        const val DATA_CENTRES = 7
        const val WARM_UP_CALLS = 20
        const val SAMPLES = 21
        const val GC_PASSES = 3
        const val NS_PER_MS = 1e6
        const val BYTES_PER_MB = 1_048_576
    }
}
