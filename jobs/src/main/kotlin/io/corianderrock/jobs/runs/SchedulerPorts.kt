/*
 * What a scheduler needs from its entry.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.contention.TaskCapacity
import io.corianderrock.jobs.ports.AdviceService
import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.ports.InstanceService
import io.corianderrock.jobs.ports.JobTables
import io.corianderrock.jobs.ports.WorkerLink
import io.corianderrock.jobs.state.JobsConfiguration
import io.corianderrock.jobs.state.MaintenanceWave

/** External services and inputs of a [Scheduler]. Their callbacks are delivered on [loop]. */
public class SchedulerPorts(
    public val loop: EventLoop,
    public val tables: JobTables,
    public val workers: WorkerLink,
    public val instances: InstanceService,
    public val advice: AdviceService,
    public val log: DecisionLog,
    public val configuration: () -> JobsConfiguration?,
    public val waves: () -> List<MaintenanceWave>,
)

/** Time limits imposed by the platform, in milliseconds. */
public data class SchedulerBounds(
    /** Least time between orders of two different entries to the same instance. */
    val instanceLeaseMs: Long = 3_000,
    /** Longest lease that a worker accepts. */
    val longestLeaseMs: Long = 6_000,
    /** Time over which the jobs that a client account submits are metered. */
    val accountWindowMs: Long = 5_000,
    /** How many times as long a task runs outside its preferred rack. */
    val remoteFactor: Double = 1.5,
    /** How many tasks the owner may hold in memory. */
    val taskCapacity: TaskCapacity = TaskCapacity(),
)
