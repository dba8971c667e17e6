/*
 * Stops of runs whose job or task is over, where the answers to orders are lost, overtake each other or come from a worker that has
 * started again since.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.OwnerOfOneWorker.Companion.EARLIER_OWNERS_RUN
import io.corianderrock.jobs.OwnerOfOneWorker.Companion.STOP_MS
import io.corianderrock.jobs.ports.RunningRow
import io.corianderrock.jobs.state.TaskId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContain

internal class StoppedRunsTest :
    DescribeSpec({
        fun row(
            task: TaskId,
            runNumber: Long,
        ) = RunningRow(task, runNumber, checkpoint = "", percent = 100)

        describe("two runs of one task of a cancelled job on one worker") {
            // Guards against a stop that is not sent because another run of the task was stopped there (UNASKED).
            it("are both stopped if the second begins after the first was stopped (UNASKED)") {
                val owner = OwnerOfOneWorker()
                owner.cancelJob()
                owner.runningRows = listOf(row(owner.task.id, EARLIER_OWNERS_RUN))
                owner.startAgain()
                owner.runningRows = listOf(row(owner.task.id, EARLIER_OWNERS_RUN + 1))
                owner.pass(STOP_MS)
                owner.answeredStops shouldContain EARLIER_OWNERS_RUN + 1
            }
        }
    })
