package io.corianderrock.coordination.admission

import io.corianderrock.coordination.Clock
import io.corianderrock.coordination.NS_PER_MS
import io.corianderrock.coordination.health.EjectionBudget
import io.corianderrock.coordination.health.HealthLimits
import io.corianderrock.coordination.health.WorkerHealth
import io.corianderrock.coordination.request.Reason
import io.corianderrock.state.WorkerRoute
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger

private const val SECOND_NS = 1_000 * NS_PER_MS

private class SchedulerFixture(
    workers: Int = 2,
    slots: Int = 2,
    queueLimit: Int = 4,
) {
    val classifier = RunTimeClassifier(shortRunTimeNs = 100 * NS_PER_MS)
    private val limits = HealthLimits()
    val states =
        List(workers) { index ->
            val route = WorkerRoute("w$index", "dc", "rack", "127.0.0.1", index, "pool", slots, 64, epoch = 1)
            WorkerState(route, WorkerHealth(limits, EjectionBudget(limits))) { slots }
        }
    val scheduler =
        ServiceScheduler(Clock.SYSTEM, AdmissionPolicy(queueLimit, longShare = 0.5), LeastLoadedOfTwo(Clock.SYSTEM), classifier).also {
            it.updateWorkers(WorkerSet(states, emptyList()))
        }

    fun request(
        route: String = "GET /x",
        deadlineMs: Long = 5_000,
        team: String = "t",
        isCallerGone: () -> Boolean = { false },
    ) = AdmissionRequest(team, route, System.nanoTime() + deadlineMs * NS_PER_MS, caller = { isCallerGone() })

    fun acquire(route: String = "GET /x"): Slot = (scheduler.acquire(request(route)) as AdmissionResult.Granted).slot

    fun acquireAsync(request: AdmissionRequest): CompletableFuture<AdmissionResult> =
        CompletableFuture.supplyAsync {
            scheduler.acquire(request)
        }

    fun awaitWaitingCount(count: Int) {
        val deadline = System.nanoTime() + 10 * SECOND_NS
        while (scheduler.waitingCount < count) check(System.nanoTime() < deadline) { "fewer than $count requests waiting after 10 s" }
    }
}

class ServiceSchedulerTest :
    DescribeSpec({
        describe("slots") {
            it("are granted immediately while free, and to a waiting request on release") {
                val fixture = SchedulerFixture()
                val held = List(4) { fixture.acquire() }
                val waiter = fixture.acquireAsync(fixture.request())
                fixture.awaitWaitingCount(1)
                held.first().release()
                waiter.get(10, TimeUnit.SECONDS).shouldBeInstanceOf<AdmissionResult.Granted>()
                fixture.states.sumOf { it.usedSlots } shouldBe 4
            }

            it("are released only once by a double release") {
                val fixture = SchedulerFixture()
                val slot = fixture.acquire()
                slot.release()
                slot.release()
                fixture.states.sumOf { it.usedSlots } shouldBe 0
            }
        }

        describe("long work") {
            it("never holds more than its share of slots") {
                val fixture = SchedulerFixture()
                repeat(50) { fixture.classifier.observe("POST /long", SECOND_NS) }
                repeat(2) { fixture.acquire("POST /long") }
                val third = fixture.acquireAsync(fixture.request("POST /long", deadlineMs = 100_000))
                fixture.awaitWaitingCount(1)
                repeat(2) { fixture.acquire("GET /short") }
                third.isDone shouldBe false
            }

            it("includes short work that has exceeded the short run time") {
                val fixture = SchedulerFixture()
                repeat(50) { fixture.classifier.observe("POST /long", SECOND_NS) }
                val stragglers = List(2) { fixture.acquire("GET /short") }
                fixture.scheduler.markOverdue(limitNs = 0)
                val long = fixture.acquireAsync(fixture.request("POST /long", deadlineMs = 100_000))
                fixture.awaitWaitingCount(1)
                long.isDone shouldBe false
                stragglers.first().release()
                long.get(10, TimeUnit.SECONDS).shouldBeInstanceOf<AdmissionResult.Granted>()
            }
        }

        describe("a request is refused") {
            it("immediately if the queue is full") {
                val fixture = SchedulerFixture(queueLimit = 2)
                repeat(4) { fixture.acquire() }
                repeat(2) { fixture.acquireAsync(fixture.request(deadlineMs = 100_000)) }
                fixture.awaitWaitingCount(2)
                val refused = fixture.scheduler.acquire(fixture.request()).shouldBeInstanceOf<AdmissionResult.Refused>()
                refused.reason shouldBe Reason.QUEUE_FULL
            }

            it("immediately if the expected wait exceeds its deadline") {
                val fixture = SchedulerFixture(queueLimit = 100)
                repeat(100) { fixture.classifier.observe("GET /x", 90 * NS_PER_MS) }
                repeat(4) { fixture.acquire() }
                fixture.acquireAsync(fixture.request(deadlineMs = 100_000))
                fixture.awaitWaitingCount(1)
                val refused = fixture.scheduler.acquire(fixture.request(deadlineMs = 60)).shouldBeInstanceOf<AdmissionResult.Refused>()
                refused.reason shouldBe Reason.DEADLINE_TOO_SHORT
            }

            it("when its deadline passes, and leaves the queue") {
                val fixture = SchedulerFixture()
                repeat(4) { fixture.acquire() }
                val refused = fixture.scheduler.acquire(fixture.request(deadlineMs = 50)).shouldBeInstanceOf<AdmissionResult.Refused>()
                refused.reason shouldBe Reason.DEADLINE_PASSED
                fixture.scheduler.waitingCount shouldBe 0
            }

            it("when the caller has closed its connection, and leaves the queue") {
                val fixture = SchedulerFixture()
                repeat(4) { fixture.acquire() }
                val isCallerGone = AtomicBoolean()
                val waiter = fixture.acquireAsync(fixture.request(deadlineMs = 100_000, isCallerGone = isCallerGone::get))
                fixture.awaitWaitingCount(1)
                isCallerGone.set(true)
                val refused = waiter.get(10, TimeUnit.SECONDS).shouldBeInstanceOf<AdmissionResult.Refused>()
                refused.reason shouldBe Reason.CALLER_GONE
                fixture.scheduler.waitingCount shouldBe 0
            }
        }

        describe("concurrent threads") {
            it("neither exceed the limits nor leak a slot or a waiter") {
                val fixture = SchedulerFixture(workers = 3, slots = 3, queueLimit = 1_000)
                val inUse = AtomicInteger()
                val maxInUse = AtomicInteger()
                val pool = Executors.newFixedThreadPool(32)
                val tasks =
                    List(32) {
                        pool.submit {
                            repeat(500) {
                                val result = fixture.scheduler.acquire(fixture.request(deadlineMs = 60_000))
                                val slot = result.shouldBeInstanceOf<AdmissionResult.Granted>().slot
                                maxInUse.accumulateAndGet(inUse.incrementAndGet(), ::maxOf)
                                inUse.decrementAndGet()
                                slot.release()
                            }
                        }
                    }
                tasks.forEach { it.get(60, TimeUnit.SECONDS) }
                pool.shutdown()
                maxInUse.get() shouldBeLessThanOrEqual 9
                fixture.states.sumOf { it.usedSlots } shouldBe 0
                fixture.scheduler.waitingCount shouldBe 0
            }
        }

        describe("queued teams") {
            it("are served by weight") {
                val queue = FairQueue(limit = 1_000) { if (it == "heavy") 3 else 1 }
                repeat(400) {
                    queue.offer(WaitingRequest("heavy", WorkClass.SHORT))
                    queue.offer(WaitingRequest("light", WorkClass.SHORT))
                }
                val served = List(400) { checkNotNull(queue.poll()).team }
                served.count { it == "heavy" } shouldBe 300
            }

            it("are not starved by a team that sends more requests") {
                val queue = FairQueue(limit = 1_000)
                repeat(500) { queue.offer(WaitingRequest("greedy", WorkClass.SHORT)) }
                repeat(5) { queue.offer(WaitingRequest("modest", WorkClass.SHORT)) }
                List(10) { checkNotNull(queue.poll()).team }.count { it == "modest" } shouldBe 5
            }
        }
    })
