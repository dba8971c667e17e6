/*
 * Orders to instances, which end all runs there. Guards against orders that are sent although the reasons for them have gone while they
 * were being stored, and against workers that join an ordered instance and get tasks, which the order then ends (AVAIL, lost work).
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.OwnerOfOneWorker.Companion.INSTANCE
import io.corianderrock.jobs.OwnerOfOneWorker.Companion.POOL
import io.corianderrock.jobs.OwnerOfOneWorker.Companion.SETTLE_MS
import io.corianderrock.jobs.fleet.CordonReason
import io.corianderrock.jobs.fleet.FleetController
import io.corianderrock.jobs.fleet.InstanceListing
import io.corianderrock.jobs.fleet.InstanceOrders
import io.corianderrock.jobs.fleet.PoolDemand
import io.corianderrock.jobs.fleet.WaveDriver
import io.corianderrock.jobs.ownership.OwnerRow
import io.corianderrock.jobs.placement.RunTimeEstimator
import io.corianderrock.jobs.ports.Instance
import io.corianderrock.jobs.ports.InstanceOrderAnswer
import io.corianderrock.jobs.ports.InstanceService
import io.corianderrock.jobs.ports.InstanceState
import io.corianderrock.jobs.ports.JobTables
import io.corianderrock.jobs.runs.JobRegistry
import io.corianderrock.jobs.runs.StoreClock
import io.corianderrock.jobs.runtimes.MeanRunTimes
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.JobsConfiguration
import io.corianderrock.jobs.state.MaintenanceWave
import io.corianderrock.jobs.state.Pool
import io.corianderrock.jobs.world.SilentTables
import io.corianderrock.jobs.world.SimLoop
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.booleans.shouldBeFalse
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe

internal class OrderedInstanceTest :
    DescribeSpec({
        describe("an order that is being stored") {
            it("is sent if the worker of its instance is empty still") {
                val fleet = OrderedFleet()
                fleet.maintain()
                fleet.owner.pass(ANSWERED_MS)
                fleet.sent shouldContainExactly listOf(INSTANCE)
            }

            // Guards against an order that ends a run which its worker was found to have after the order was decided on (AVAIL).
            it("is given up if its worker has got a run meanwhile, and may be repeated later (AVAIL)") {
                val fleet = OrderedFleet()
                fleet.maintain()
                fleet.owner.startTask()
                fleet.owner.pass(ANSWERED_MS)
                fleet.sent.shouldBeEmpty()
                fleet.view.isOrdered.shouldBeFalse()
            }

            // Guards against an order that is judged by a worker that has ended, while the next one on its instance has runs (AVAIL).
            it("is given up if its instance has another worker meanwhile (AVAIL)") {
                val fleet = OrderedFleet()
                fleet.maintain()
                fleet.owner.listOther(bornWallMs = fleet.owner.time.nowMs)
                fleet.owner.pass(ANSWERED_MS)
                fleet.sent.shouldBeEmpty()
            }
        }
        describe("an order that is accepted as it was carried out before the present worker joined") {
            // Guards against a worker that its owner forgets while it runs tasks, which are then started elsewhere (TWICE) or not stopped (UNASKED).
            it("leaves the worker and its runs, which are stopped with their job (UNASKED)") {
                val fleet = OrderedFleet()
                fleet.owner.startTask()
                fleet.owner.pass(SETTLE_MS)
                fleet.maintain()
                fleet.owner.pass(ANSWERED_MS)
                fleet.answers shouldContainExactly listOf(InstanceOrderAnswer.Accepted)
                fleet.owner.cancelJob()
                fleet.owner.pass(SETTLE_MS)
                fleet.owner.stoppedRuns shouldContainExactly
                    listOf(
                        fleet.owner.starts
                            .single()
                            .runNumber,
                    )
            }

            // Guards against a sound worker that gets no tasks until its row in the registry changes (LOST).
            it("leaves the worker to be used once a list shows it on the instance still (LOST)") {
                val fleet = OrderedFleet()
                fleet.maintain()
                fleet.owner.pass(ANSWERED_MS)
                fleet.hasUsableWorker.shouldBeFalse()
                fleet.controller.tick()
                fleet.owner.pass(SETTLE_MS)
                fleet.hasUsableWorker.shouldBeTrue()
            }
        }
        describe("an order that has ended the worker of its instance") {
            // Guards against tasks that are placed on a worker that has ended (LOST).
            it("removes the worker once a list shows that, and lets it have no tasks before (LOST)") {
                val fleet = OrderedFleet()
                fleet.maintain()
                fleet.owner.pass(ANSWERED_MS)
                fleet.hasUsableWorker.shouldBeFalse()
                fleet.listed = fleet.listed.copy(state = InstanceState.MAINTENANCE, workerId = null)
                fleet.controller.tick()
                fleet.owner.pass(SETTLE_MS)
                fleet.owner.driver
                    .find(OwnerOfOneWorker.WORKER)
                    .shouldBeNull()
            }
        }
        describe("an instance with a worker that runs a task, after an accepted order") {
            // Guards against a slow list of the time before the worker started again under its id and began the task (TWICE).
            it("keeps the worker if that answers while a list is on its way that shows the order carried out (TWICE)") {
                val fleet = OrderedFleet()
                fleet.owner.startTask()
                fleet.owner.pass(SETTLE_MS)
                fleet.maintain()
                fleet.owner.pass(ANSWERED_MS)
                fleet.listed = fleet.listed.copy(state = InstanceState.MAINTENANCE, workerId = null)
                fleet.listMs = ANSWERED_MS
                fleet.controller.tick()
                fleet.owner.pass(LATE_ANSWER_MS)
                fleet.controller.tick()
                fleet.owner.pass(2 * ANSWERED_MS)
                fleet.owner.task.worker
                    ?.id shouldBe OwnerOfOneWorker.WORKER
            }
        }
        describe("a worker that is listed on an instance while an order to that is open") {
            // Guards against tasks that are placed on a worker which its instance's order is about to end (AVAIL).
            it("is cordoned before a task can be placed there, until the order is answered (AVAIL)") {
                val fleet = OrderedFleet()
                fleet.maintain()
                val entry = fleet.owner.entry().copy(id = "other", bornWallMs = fleet.owner.time.nowMs)
                fleet.owner.driver.onListed(entry)
                fleet.controller.onWorkerListed(entry)
                val other = checkNotNull(fleet.owner.driver.find("other"))
                other.isCordoned.shouldBeTrue()
                fleet.owner.pass(ANSWERED_MS)
                other.isCordoned.shouldBeFalse()
            }

            // Guards against a cordon that nobody lifts, so that the worker gets no tasks for good (LOST).
            it("is not cordoned any more once the order is accepted (LOST)") {
                val fleet = OrderedFleet(answerAfterMs = LATE_ANSWER_MS)
                fleet.controller.cordon(fleet.view, CordonReason.MAINTENANCE)
                fleet.maintain()
                fleet.owner.pass(ANSWERED_MS)
                val entry = fleet.owner.entry().copy(id = "other", bornWallMs = fleet.owner.time.nowMs)
                fleet.owner.driver.onListed(entry)
                fleet.controller.tick()
                fleet.owner.pass(LATE_ANSWER_MS)
                fleet.answers shouldContainExactly listOf(InstanceOrderAnswer.Accepted)
                checkNotNull(fleet.owner.driver.find("other")).isCordoned.shouldBeFalse()
            }
        }
        describe("a wave that names an instance which no list has shown yet") {
            // Guards against a wave that is shown as complete before one of its instances had its upkeep (MIXED).
            it("is not shown as complete before a list that was requested later shows whether there is such an instance (MIXED)") {
                val fleet = OrderedFleet()
                val published = ArrayList<Boolean>()
                val tables =
                    object : JobTables by SilentTables {
                        override fun publishWave(
                            number: Int,
                            isComplete: Boolean,
                            onResult: (Boolean) -> Unit,
                        ) {
                            published.add(isComplete)
                            onResult(true)
                        }
                    }
                val wave = MaintenanceWave(1, listOf("new"), durationS = 30.0, maxConcurrent = 1)
                val waves = WaveDriver(fleet.loop, fleet.controller, tables, fleet.owner.committer, { _, _ -> }) { listOf(wave) }
                waves.tick()
                published.shouldBeEmpty()
                fleet.owner.pass(LATE_ANSWER_MS)
                fleet.controller.tick()
                fleet.owner.pass(SETTLE_MS)
                waves.tick()
                published shouldContainExactly listOf(true)
            }
        }
        describe("a move that has no answer") {
            // Guards against an instance that joins its new pool and gets no tasks there, as its cordon outlives the move (LOST).
            it("leaves no cordon on the worker that joins the new pool (LOST)") {
                val fleet = OrderedFleet()
                val listing = InstanceListing(fleet.loop, fleet, fleet.owner.driver) { _, _ -> }
                listing.refresh()
                fleet.owner.pass(SETTLE_MS)
                val view = listing.byId.getValue(INSTANCE)
                view.isOutcomeOpen = true
                view.cordonReason = CordonReason.SURPLUS
                fleet.listed = fleet.listed.copy(pool = "other", state = InstanceState.MOVING, workerId = null)
                fleet.owner.pass(LATE_ANSWER_MS)
                listing.refresh()
                fleet.owner.pass(SETTLE_MS)
                view.cordonReason.shouldBeNull()
            }
        }
    })

/** In this time an order is stored, sent and answered. */
private const val ANSWERED_MS = 1_000L

/** Longer than an upkeep takes, as for a process that was suspended meanwhile. */
private const val LATE_ANSWER_MS = 3_000L

/** The fleet of an owner with one worker on one instance. */
private class OrderedFleet(
    private val answerAfterMs: Long = 3,
) : InstanceService {
    val owner = OwnerOfOneWorker()
    val loop = SimLoop(owner.time)
    private val registry = JobRegistry(loop, owner.committer, { _, _ -> })
    private val row = OwnerRow("e", "e", 2, 1)
    var listed = Instance(INSTANCE, POOL, InstanceState.UP, "dc", emptyList(), Demand(8_000, 32_000), OwnerOfOneWorker.WORKER)

    /** Time from the request for a list to its answer. */
    var listMs = 3L
    val sent = ArrayList<String>()
    val answers = ArrayList<InstanceOrderAnswer>()
    val controller =
        FleetController(
            loop = loop,
            service = this,
            driver = owner.driver,
            log = { _, _ -> },
            orders = InstanceOrders(loop, owner.committer, { _, _ -> }, row, false, StoreClock(loop), keepMs = 4_100, inheritedUntilMs = 0),
            token = 2,
            demand = PoolDemand(loop, registry, RunTimeEstimator(MeanRunTimes())),
            capacityShortageMs = { 0 },
            configuration = {
                JobsConfiguration(
                    1,
                    emptyList(),
                    listOf(Pool(POOL), Pool("spare", isStandby = true)).associateBy { it.name },
                )
            },
            mayOrder = { true },
        )
    val view get() = checkNotNull(controller.find(INSTANCE))
    val hasUsableWorker get() = owner.driver.find(OwnerOfOneWorker.WORKER)?.let { it.isListed && it.isReconciled && !it.isCordoned } == true

    init {
        controller.tick()
        owner.pass(SETTLE_MS)
    }

    fun maintain() = controller.maintain(view, waveNumber = 1) { answers.add(it) }

    override fun list(onResult: (List<Instance>?) -> Unit) {
        val instance = listed
        loop.after(listMs) { onResult(listOf(instance)) }
    }

    override fun move(
        instanceId: String,
        pool: String,
        token: Long,
        onAnswer: (InstanceOrderAnswer) -> Unit,
    ) = error("no move was expected")

    override fun maintain(
        instanceId: String,
        waveNumber: Int,
        token: Long,
        onAnswer: (InstanceOrderAnswer) -> Unit,
    ) {
        sent.add(instanceId)
        loop.after(answerAfterMs) { onAnswer(InstanceOrderAnswer.Accepted) }
    }
}
