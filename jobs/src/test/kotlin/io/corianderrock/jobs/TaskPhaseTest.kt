/*
 * Which phase of a task may follow which.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.state.TaskPhase
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

internal class TaskPhaseTest :
    DescribeSpec({
        describe("a task whose run is being stopped") {
            // Guards against a late answer or list by which a run that has to end counts as running again (UNASKED).
            it("becomes free or done, and neither starting nor running") {
                TaskPhase.entries.filter(TaskPhase.STOPPING::mayBecome) shouldBe listOf(TaskPhase.WAITING, TaskPhase.DONE)
            }
        }
        describe("a task that is done") {
            // Guards against a task that is started once more after its end counted (TWICE).
            it("stays done") {
                TaskPhase.entries.filter(TaskPhase.DONE::mayBecome) shouldBe emptyList()
            }
        }
    })
