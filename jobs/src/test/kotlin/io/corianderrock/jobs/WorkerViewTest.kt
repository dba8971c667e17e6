/*
 * Covers the estimate of a worker's clock, from which the end of each lease is computed.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.ports.WorkerEntry
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.WorkerView
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeLessThanOrEqual

private const val READ_AT_MS = 1_000L
private const val IDLE_FOR_MS = 20_000L

/** What a clock that is 2% slow shows after [IDLE_FOR_MS]. */
private const val SLOW_CLOCK_MS = 19_600L

private val ENTRY =
    WorkerEntry(
        id = "w",
        address = "w",
        pool = "a",
        dataCentre = "dc",
        instanceId = "m",
        capacity = Demand(),
        labels = emptyList(),
        isDraining = false,
        leavesInMs = null,
        bornWallMs = 0,
    )

internal class WorkerViewTest :
    DescribeSpec({
        describe("the estimate of the clock of a worker that has been idle") {
            // Guards against leases beyond the bound that the next owner waits for.
            it("is never ahead of a slow clock") {
                val worker = WorkerView(ENTRY)
                worker.recordClock(0, READ_AT_MS)
                worker.estimatedClockMs(READ_AT_MS + IDLE_FOR_MS) shouldBeLessThanOrEqual SLOW_CLOCK_MS
            }
        }
    })
