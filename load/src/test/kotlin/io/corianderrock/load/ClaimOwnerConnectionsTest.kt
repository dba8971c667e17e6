/*
 * When an entry counts as connected to the owners of claim ranges. Each test brings about one failure.
 */
package io.corianderrock.load

import io.corianderrock.coordination.Clock
import io.corianderrock.coordination.NS_PER_MS
import io.corianderrock.coordination.claim.ClaimRangeRow
import io.corianderrock.daemon.ClaimOwnerConnections
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe

/** Connections of the entry `self`, of which the test controls the owners that are known and connected. */
private class Connections(
    vararg owners: String,
) : Clock {
    private var nowMs = 0L
    var rows = owners.mapIndexed { range, owner -> ClaimRangeRow(range, owner = owner, ownerInstance = owner, epoch = 1) }
    val connected = HashSet<String>()
    val asked = HashSet<String>()
    var entries = emptyList<String>()
    private val connections =
        ClaimOwnerConnections(this, "self", { rows }, { entries }) {
            asked += it
            it in connected
        }

    override fun monotonicNs(): Long = nowMs * NS_PER_MS

    override fun wallMs(): Long = nowMs

    fun isReadyAfter(ms: Long): Boolean {
        nowMs += ms
        connections.tick()
        return connections.haveBeenReady
    }
}

class ClaimOwnerConnectionsTest :
    DescribeSpec({
        // Guards against keyed requests refused since the first claim has to wait for its connection (key-owner-unreachable).
        describe("an entry that starts") {
            it("asks for the connections to all owners before the first claim, and is not ready until they are open") {
                val connections = Connections("self", "a", "b")
                connections.isReadyAfter(0) shouldBe false
                connections.asked shouldContainExactlyInAnyOrder listOf("a", "b")
                connections.connected += listOf("a", "b")
                connections.isReadyAfter(100) shouldBe true
            }
            // Guards against connections that are begun only when the time for them is running.
            it("connects to the other entries before ranges have owners, without waiting for them") {
                val connections = Connections()
                connections.entries = listOf("self", "a", "b")
                connections.isReadyAfter(0) shouldBe false
                connections.asked shouldContainExactlyInAnyOrder listOf("a", "b")
                connections.connected += "a"
                connections.rows = Connections("self", "a").rows
                connections.isReadyAfter(100) shouldBe true
            }
            it("is ready at once if it owns all ranges") {
                Connections("self").isReadyAfter(0) shouldBe true
            }
            it("is not ready while no owner is known") {
                val connections = Connections()
                connections.isReadyAfter(ClaimOwnerConnections.START_LIMIT_MS - 1) shouldBe false
                connections.rows = Connections("a").rows
                connections.isReadyAfter(100) shouldBe false
                connections.connected += "a"
                connections.isReadyAfter(100) shouldBe true
            }
            // Guards against an entry that serves nobody because one owner is cut off.
            it("is ready without an owner that cannot be reached, after a while") {
                val connections = Connections("a")
                connections.isReadyAfter(0) shouldBe false
                connections.isReadyAfter(ClaimOwnerConnections.START_LIMIT_MS - 1) shouldBe false
                connections.isReadyAfter(1) shouldBe true
            }
        }
    })
