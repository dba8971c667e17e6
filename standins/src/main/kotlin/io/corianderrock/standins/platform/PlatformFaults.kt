/*
 * Faults that can be injected into the platform stand-in through its control endpoint.
 */
package io.corianderrock.standins.platform

import kotlinx.serialization.Serializable

/**
 * The active faults. [isDown] fails every call with status 503, [delayMs] delays every call, and [isListStale] stops
 * updates of the instance list. When [loseEveryNthAnswer] is above 0, every n-th write is applied and then answered
 * with status 500.
 */
@Serializable
public data class PlatformFaults(
    val isDown: Boolean = false,
    val delayMs: Long = 0,
    val loseEveryNthAnswer: Int = 0,
    val isListStale: Boolean = false,
)
