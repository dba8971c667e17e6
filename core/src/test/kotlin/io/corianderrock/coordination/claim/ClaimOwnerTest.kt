package io.corianderrock.coordination.claim

import io.corianderrock.coordination.FaultyPlatform
import io.corianderrock.coordination.ManualClock
import io.corianderrock.coordination.MemoryPlatform
import io.corianderrock.coordination.PlatformFault
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

private class OwnerFixture {
    val clock = ManualClock()
    val memory = MemoryPlatform()
    val ended = HashMap<String, Long>()
    var isDown = false
    private var ids = 0

    fun owner(instance: String): ClaimOwner {
        lateinit var owner: ClaimOwner
        val platform = FaultyPlatform(memory) { if (isDown) PlatformFault.DOWN else PlatformFault.NONE }
        val wait =
            CommitWait { committed, _ ->
                owner.log.commitPending(waitMs = 0)
                committed.getNow(false)
            }
        owner =
            ClaimOwner(platform, clock, "process-${ids++}", instance, ClaimLimits(), {
                ended[it]
            }, { "id-${ids++}" }, wait, CommitPace(ClaimLimits(), clock) { clock.advanceMs(1) })
        return owner
    }

    fun started(instance: String): ClaimOwner =
        owner(instance).also {
            it.beat()
            it.rebalance(CLAIM_RANGES)
        }

    fun call(
        key: String,
        attempt: String,
        isFirstSend: Boolean = false,
        firstSentMs: Long? = null,
    ) = ClaimCall(key, attempt, isFirstSend, firstSentMs)
}

class ClaimOwnerTest :
    DescribeSpec({
        describe("a key") {
            it("is granted once") {
                val owner = OwnerFixture().started("a")
                val fixture = OwnerFixture()
                owner.claim(fixture.call("k", "1")) shouldBe OwnerAnswer.Granted
                owner.claim(fixture.call("k", "2")) shouldBe OwnerAnswer.Taken(isCompleted = false)
            }

            it("is granted again to the attempt that holds it, whose answer was lost") {
                val fixture = OwnerFixture()
                val owner = fixture.started("a")
                owner.claim(fixture.call("k", "1"))
                owner.claim(fixture.call("k", "1")) shouldBe OwnerAnswer.Granted
            }

            it("is free again after a release") {
                val fixture = OwnerFixture()
                val owner = fixture.started("a")
                owner.claim(fixture.call("k", "1"))
                owner.release("k", "1")
                owner.claim(fixture.call("k", "2")) shouldBe OwnerAnswer.Granted
            }
        }

        describe("an outage of the platform") {
            it("refuses claims at first, and grants them from memory once it has lasted") {
                val fixture = OwnerFixture()
                val owner = fixture.started("a")
                fixture.isDown = true
                owner.claim(fixture.call("k", "1")) shouldBe OwnerAnswer.NotDurable
                fixture.clock.advanceMs(ClaimLimits().memoryModeAfterMs)
                owner.claim(fixture.call("k", "2")) shouldBe OwnerAnswer.Granted
                owner.claim(fixture.call("k", "3")) shouldBe OwnerAnswer.Taken(isCompleted = false)
            }

            it("ends with every claim in the log") {
                val fixture = OwnerFixture()
                val owner = fixture.started("a")
                fixture.isDown = true
                fixture.clock.advanceMs(ClaimLimits().memoryModeAfterMs)
                repeat(100) { owner.claim(fixture.call("k$it", "1")) }
                fixture.isDown = false
                owner.log.commitPending(waitMs = 0)
                owner.log.pendingCount shouldBe 0
                owner.log.commitCount shouldBeLessThanOrEqual 2
            }
        }

        describe("a new owner") {
            it("knows the claims of one that ended while it logged everything") {
                val fixture = OwnerFixture()
                val first = fixture.started("a")
                first.claim(fixture.call("k", "1"))
                fixture.ended["a"] = fixture.clock.wallMs() + 1_000
                fixture.clock.advanceMs(60_000)
                val second = fixture.started("b")
                second.claim(fixture.call("k", "2")) shouldBe OwnerAnswer.Taken(isCompleted = false)
                second.claim(fixture.call("fresh", "3")) shouldBe OwnerAnswer.Granted
            }

            it("refuses keys of unknown age after one that may have granted from memory") {
                val fixture = OwnerFixture()
                fixture.started("a")
                fixture.clock.advanceMs(60_000)
                fixture.ended["a"] = fixture.clock.wallMs()
                val second = fixture.started("b")
                val takenOverMs = fixture.clock.wallMs()
                second.claim(fixture.call("old", "1")) shouldBe OwnerAnswer.HistoryIncomplete
                second.claim(fixture.call("promised", "2", isFirstSend = true)) shouldBe OwnerAnswer.Granted
                second.claim(fixture.call("dated", "3", firstSentMs = takenOverMs + 5_000)) shouldBe OwnerAnswer.Granted
                second.claim(fixture.call("before", "4", firstSentMs = takenOverMs - 5_000)) shouldBe OwnerAnswer.HistoryIncomplete
            }

            it("takes nothing from an owner that is only silent") {
                val fixture = OwnerFixture()
                fixture.started("a")
                fixture.clock.advanceMs(600_000)
                fixture.started("b").ownedRanges.shouldBeEmpty()
            }

            it("fences the former one") {
                val fixture = OwnerFixture()
                val first = fixture.started("a")
                fixture.ended["a"] = fixture.clock.wallMs()
                fixture.started("b")
                first.claim(fixture.call("k", "1")) shouldBe OwnerAnswer.NotOwner
            }
        }

        describe("ranges") {
            it("are shared fairly when a second process joins") {
                val fixture = OwnerFixture()
                val first = fixture.started("a")
                val second = fixture.owner("b")
                second.beat()
                first.rebalance(CLAIM_RANGES / 2)
                second.rebalance(CLAIM_RANGES / 2)
                first.ownedRanges.size shouldBe CLAIM_RANGES / 2
                second.ownedRanges.size shouldBe CLAIM_RANGES / 2
            }
        }

        describe("random histories") {
            it("never run a key twice (seeds 1 to 300)") {
                val histories = (1..300).map { seed -> ClaimHistory(seed, ClaimLimits()).also { it.run(steps = 400) } }
                histories.flatMap { it.doubled }.shouldBeEmpty()
                histories.sumOf { it.granted } shouldBeGreaterThan 3_000
            }

            it("run keys twice without the rule for missing claims (seeds 1 to 300)") {
                val noGapRule = ClaimLimits(maxClockSkewMs = -1_000_000_000)
                val histories = (1..300).map { seed -> ClaimHistory(seed, noGapRule).also { it.run(steps = 400) } }
                histories.flatMap { it.doubled }.shouldNotBeEmpty()
            }
        }
    })
