/*
 * The workers of an owner, for the part that controls shared ones.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.sharing.SharedWorkers
import io.corianderrock.jobs.state.TaskRun
import io.corianderrock.jobs.state.WorkerView

internal class DriverWorkers(
    private val driver: WorkerDriver,
    private val mayMove: (TaskRun) -> Boolean,
) : SharedWorkers {
    override val all: Collection<WorkerView> get() = driver.workers

    override fun requestLists(worker: WorkerView): Unit = driver.requestLists(worker)

    override fun stop(task: TaskRun): Unit = driver.stop(task)

    override fun hasOtherPlace(task: TaskRun): Boolean = mayMove(task)
}
