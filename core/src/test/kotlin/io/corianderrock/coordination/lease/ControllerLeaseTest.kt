package io.corianderrock.coordination.lease

import io.corianderrock.coordination.FaultyPlatform
import io.corianderrock.coordination.ManualClock
import io.corianderrock.coordination.MemoryPlatform
import io.corianderrock.coordination.PlatformFault
import io.corianderrock.coordination.PlatformResult
import io.corianderrock.coordination.Transaction
import io.corianderrock.coordination.Write
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlin.random.Random

private class LeaseFixture {
    val clock = ManualClock()
    val memory = MemoryPlatform()
    private var ids = 0

    fun lease(instanceId: String) = ControllerLease(memory, clock, instanceId, newId = { "id-${ids++}" })
}

class ControllerLeaseTest :
    DescribeSpec({
        describe("a lease") {
            it("is held by one instance while it is renewed") {
                val fixture = LeaseFixture()
                val first = fixture.lease("a")
                val second = fixture.lease("b")
                first.renewOrAcquire().shouldNotBeNull()
                repeat(20) {
                    fixture.clock.advanceMs(750)
                    first.renewOrAcquire().shouldNotBeNull()
                    second.renewOrAcquire().shouldBeNull()
                }
            }

            it("is taken over by the next attempt after its duration if its holder is silent") {
                val fixture = LeaseFixture()
                fixture.lease("a").renewOrAcquire()
                val second = fixture.lease("b")
                second.renewOrAcquire().shouldBeNull()
                fixture.clock.advanceMs(3_000)
                second.renewOrAcquire().shouldNotBeNull()
            }

            it("is taken over at once after a release") {
                val fixture = LeaseFixture()
                val first = fixture.lease("a")
                first.renewOrAcquire()
                first.release()
                fixture.lease("b").renewOrAcquire().shouldNotBeNull()
            }
        }

        describe("a holder that was paused past its lease") {
            it("is fenced from later writes") {
                val fixture = LeaseFixture()
                val paused = checkNotNull(fixture.lease("a").renewOrAcquire())
                val second = fixture.lease("b")
                second.renewOrAcquire()
                fixture.clock.advanceMs(3_000)
                second.renewOrAcquire().shouldNotBeNull()
                val staleWrite = Transaction("late", listOf(paused.fence), listOf(Write("row", "late")))
                fixture.memory.transact(staleWrite).shouldBeInstanceOf<PlatformResult.Conflict>()
            }

            it("stops acting without a call to the platform") {
                val fixture = LeaseFixture()
                val first = fixture.lease("a")
                first.renewOrAcquire()
                fixture.clock.advanceMs(2_000)
                first.current().shouldBeNull()
            }
        }

        describe("random pauses, lost answers and outages (seeds 1 to 200)") {
            it("let at most one instance act at a time and no older token write after a newer one") {
                for (seed in 1..200) {
                    val random = Random(seed)
                    val clock = ManualClock()
                    val memory = MemoryPlatform()
                    var ids = 0
                    val platform =
                        FaultyPlatform(memory) {
                            when (random.nextInt(8)) {
                                0 -> PlatformFault.DOWN
                                1 -> PlatformFault.ANSWER_LOST
                                else -> PlatformFault.NONE
                            }
                        }
                    val leases = List(3) { ControllerLease(platform, clock, "i$it", newId = { "id-${ids++}" }) }
                    val held = HashMap<Int, HeldLease>()
                    var newestToken = 0L
                    repeat(200) { step ->
                        clock.advanceMs(random.nextLong(0, 1_500))
                        val index = random.nextInt(leases.size)
                        leases[index].renewOrAcquire()?.let { held[index] = it }
                        leases.count { it.current() != null } shouldBeLessThanOrEqual 1
                        val writer = held.entries.randomOrNull(random)?.value
                        if (writer != null) {
                            val write = Transaction("w-$seed-$step", listOf(writer.fence), listOf(Write("row", "${writer.token}")))
                            if (memory.transact(write) is PlatformResult.Ok) {
                                (writer.token >= newestToken) shouldBe true
                                newestToken = writer.token
                            }
                        }
                    }
                }
            }
        }
    })
