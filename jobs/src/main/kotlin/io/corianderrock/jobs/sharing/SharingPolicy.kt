/*
 * Where best-effort tasks and tasks with a response time target run on one worker.
 */
package io.corianderrock.jobs.sharing

import io.corianderrock.jobs.state.Step
import io.corianderrock.jobs.state.TaskRun
import io.corianderrock.jobs.state.WorkerView

/** Decides whether a task starts beside tasks of the other kind. Used on the event loop only. */
internal interface SharingPolicy {
    /** True if a task of [step] may start on [worker], where tasks of the other kind run. */
    fun mayStartBeside(
        worker: WorkerView,
        step: Step,
    ): Boolean

    /** How unfavourable a start of a task of [step] on [worker] is, from 0 to 1. */
    fun cost(
        worker: WorkerView,
        step: Step,
    ): Double
}

/** Keeps the two kinds on separate workers. */
internal object NoSharing : SharingPolicy {
    override fun mayStartBeside(
        worker: WorkerView,
        step: Step,
    ): Boolean = false

    override fun cost(
        worker: WorkerView,
        step: Step,
    ): Double = 0.0
}

/** True if [task] can be slowed down in favour of tasks that serve. */
internal fun isPaceable(task: TaskRun): Boolean = task.stepRun.step.isBestEffort && !task.stepRun.step.isServing

/** True while both kinds of tasks run here or are being started here. */
internal val WorkerView.isShared: Boolean
    get() = runs.values.any(::isPaceable) && runs.values.any { it.stepRun.step.isServing }
