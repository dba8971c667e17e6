/*
 * Covers when an entry leaves the rotation. In a partition of a data centre its entries still answered each other, so that two of 14
 * stayed ready for its 5 s and held each request for 500 ms or left it without answer. A store that fails for all must take no
 * entry out of the rotation.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.entry.CallerReach
import io.corianderrock.jobs.ownership.OwnerSighting
import io.corianderrock.jobs.ownership.PeerStatus
import io.corianderrock.jobs.world.SimLoop
import io.corianderrock.jobs.world.SimTime
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

internal class CallerReachTest :
    DescribeSpec({
        describe("a data centre that is partitioned") {
            it("takes its entries out of the rotation within a second, although they answer each other") {
                val entry = Entry()
                entry.hear("b")
                entry.loseStore()
                repeat(10) { entry.runFor(90).hear("a") }
                entry.reach.isCutOff shouldBe true
            }
            it("also where the owner is in it and answers that it cannot write") {
                val entry = Entry()
                entry.hear("b")
                entry.loseStore()
                repeat(10) { entry.runFor(90).hear("a", isOwner = true, canWrite = false) }
                entry.reach.isCutOff shouldBe true
            }
            it("lets them return with the first answer of the store or of a peer elsewhere") {
                val entry = Entry()
                entry.hear("b")
                entry.loseStore().runFor(1_000)
                entry.reach.isCutOff shouldBe true
                entry.hear("b")
                entry.reach.isCutOff shouldBe false
                entry.runFor(1_000).lostAtMs = null
                entry.reach.isCutOff shouldBe false
            }
            it("is told in the log, with its end") {
                val entry = Entry()
                val lines = ArrayList<String>()
                entry.reach.watch { event, _ -> lines += event }
                entry.loseStore().runFor(2_000).hear("b")
                entry.runFor(300)
                lines shouldBe listOf("entry_cut_off", "entry_regained")
            }
        }
        describe("a store that fails at once") {
            // Guards against entries that refuse callers, as cut off, before they have asked any peer.
            it("takes no entry out of the rotation before peers had the time to answer") {
                val entry = Entry()
                entry.runFor(10_000).loseStore().runFor(100)
                entry.reach.isCutOff shouldBe false
            }
            it("takes no entry out of the rotation while peers of other data centres answer") {
                val entry = Entry()
                entry.loseStore()
                repeat(10) {
                    entry.runFor(600).hear("b")
                    entry.reach.isCutOff shouldBe false
                }
            }
        }
        describe("a deployment with one data centre") {
            it("counts the answers of all peers") {
                val entry = Entry()
                entry.loseStore()
                repeat(10) { entry.runFor(300).hear("a") }
                entry.reach.isCutOff shouldBe false
                entry.reach.isSeekingPeers shouldBe false
            }
        }
    })

/** An entry in the data centre "a". */
private class Entry {
    private val time = SimTime()
    var lostAtMs: Long? = null
    val reach =
        CallerReach(
            loop = SimLoop(time),
            isSlow = { false },
            silentMs = { lostAtMs?.let { time.nowMs - it } ?: 0 },
            dataCentre = "a",
        ) { lostAtMs != null }

    fun loseStore() = apply { lostAtMs = time.nowMs }

    fun runFor(durationMs: Long) = apply { time.runUntil(time.nowMs + durationMs) }

    fun hear(
        dataCentre: String,
        isOwner: Boolean = false,
        canWrite: Boolean = true,
    ) = reach.onPeerAnswered(PeerStatus(OwnerSighting("o", 1), isOwner, canWrite, dataCentre = dataCentre))
}
