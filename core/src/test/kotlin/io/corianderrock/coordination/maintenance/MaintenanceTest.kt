package io.corianderrock.coordination.maintenance

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan

class MaintenanceTest :
    DescribeSpec({
        describe("simulations of two controllers and two operators with random faults (seeds 1 to 150)") {
            val simulations = (1..150).map { seed -> MaintenanceSimulation(seed).also { it.run(steps = 400) } }

            it("exceed no budget, keep each instance in one pool and reboot none with a request in flight") {
                simulations.flatMap { it.violationsFound }.shouldBeEmpty()
            }

            it("reboot and move instances") {
                simulations.sumOf { it.reboots } shouldBeGreaterThan 150
                simulations.sumOf { it.moves } shouldBeGreaterThan 150
            }

            it("leave an unbroken record") {
                simulations.flatMap { it.recordDefects() }.shouldBeEmpty()
            }

            it("complete the wave once the faults end") {
                simulations.filterNot { it.runToCompletion() }.map { it.pending }.shouldBeEmpty()
                simulations.flatMap { it.violationsFound }.shouldBeEmpty()
            }
        }

        describe("the same simulations without drain confirmations by the entries") {
            it("reboot instances with requests in flight or let them serve two pools") {
                val simulations = (1..150).map { seed -> MaintenanceSimulation(seed, entriesConfirm = false).also { it.run(steps = 400) } }
                simulations.flatMap { it.violationsFound }.shouldNotBeEmpty()
            }
        }
    })
