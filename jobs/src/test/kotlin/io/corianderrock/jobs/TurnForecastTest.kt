/*
 * Demand that rotates between pools, as the forecast of pool sizes sees it.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.fleet.TurnForecast
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.maps.shouldBeEmpty
import io.kotest.matchers.maps.shouldContainExactly
import io.kotest.matchers.shouldBe

private val POOLS = listOf("a", "b", "c", "d")
private const val TURN_MS = 4_500L

/** Plays [turnCount] turns of ten instances each, one pool after the other, and returns the time of the last onset. */
private fun TurnForecast.play(turnCount: Int): Long {
    for (number in 0 until turnCount) {
        val hot = POOLS[number % POOLS.size]
        for (step in 0 until TURN_MS step 50) {
            observe(POOLS.associateWith { if (it == hot) 10.0 else 0.2 }, number * TURN_MS + step)
        }
    }
    return (turnCount - 1) * TURN_MS
}

internal class TurnForecastTest :
    DescribeSpec({
        describe("before any rotation was seen") {
            it("expects nothing while no pool has much work") {
                val forecast = TurnForecast()
                forecast.observe(POOLS.associateWith { 0.3 }, 0)
                forecast.turns.shouldBeEmpty()
                forecast.expected(POOLS, 5_000).shouldBeEmpty()
            }
            it("expects the pools that had no turn yet once the length of a turn is known") {
                val forecast = TurnForecast()
                val lastOnsetMs = forecast.play(2)
                forecast.expected(POOLS, lastOnsetMs + TURN_MS - 1_000) shouldContainExactly mapOf("c" to 10.0, "d" to 10.0)
            }
        }
        describe("after a whole rotation") {
            it("expects the next pool in time for a move, and no other") {
                val forecast = TurnForecast()
                val lastOnsetMs = forecast.play(5)
                forecast.expected(POOLS, lastOnsetMs + TURN_MS - 2_500) shouldContainExactly mapOf("b" to 10.0)
                forecast.expected(POOLS, lastOnsetMs + 1_700).shouldBeEmpty()
            }
            it("expects a full turn as soon as it has begun") {
                val forecast = TurnForecast()
                val lastOnsetMs = forecast.play(5)
                forecast.observe(mapOf("a" to 0.5, "b" to 1.2), lastOnsetMs + TURN_MS)
                forecast.expected(POOLS, lastOnsetMs + TURN_MS + 100) shouldContainExactly mapOf("b" to 10.0)
            }
            it("gives up a turn that does not come") {
                val forecast = TurnForecast()
                val lastOnsetMs = forecast.play(5)
                forecast.expected(POOLS, lastOnsetMs + TURN_MS + 2_000).shouldBeEmpty()
            }
            it("goes on from the turns that were stored") {
                val forecast = TurnForecast()
                val lastOnsetMs = forecast.play(5)
                val next = TurnForecast(forecast.turns)
                next.expected(POOLS, lastOnsetMs + TURN_MS - 1_000).keys.shouldContainExactly("b")
            }
            it("keeps a bounded history") {
                val forecast = TurnForecast()
                forecast.play(50)
                forecast.turns.size shouldBe 12
            }
        }
    })
