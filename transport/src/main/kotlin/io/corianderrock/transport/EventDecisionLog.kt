/*
 * Adapter from the scheduler's decision log to the event log.
 */
package io.corianderrock.transport

import io.corianderrock.jobs.ports.DecisionLog

/** Writes each decision as an event of the logger [component]. Fields are alternating keys and values. */
public class EventDecisionLog(
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
