/*
 * Writes the decisions of the scheduler as events.
 */
package io.corianderrock.transport

import io.corianderrock.jobs.ports.DecisionLog

/** Writes decisions under the name [component]. */
public class LoopDecisionLog(
    component: String,
) : DecisionLog {
    private val log = EventLog(component)

    override fun write(
        event: String,
        vararg fields: Any?,
    ) {
        val pairs = Array(fields.size / 2) { fields[2 * it].toString() eq fields[2 * it + 1] }
        log.info(event, *pairs)
    }
}
