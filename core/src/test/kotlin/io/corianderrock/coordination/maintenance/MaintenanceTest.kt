package io.corianderrock.coordination.maintenance

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan

class MaintenanceTest :
    DescribeSpec({
        describe("random histories of two controllers and two operators (seeds 1 to 150)") {
            val histories = (1..150).map { seed -> MaintenanceHistory(seed).also { it.run(steps = 400) } }

            it("keep every budget, every instance in one pool, and no reboot under a request") {
                histories.flatMap { it.found }.shouldBeEmpty()
            }

            it("reboot and move instances") {
                histories.sumOf { it.reboots } shouldBeGreaterThan 150
                histories.sumOf { it.moves } shouldBeGreaterThan 150
            }

            it("leave an unbroken record") {
                histories.flatMap { it.recordDefects() }.shouldBeEmpty()
            }

            it("end their wave once the faults end") {
                histories.filterNot { it.settle() }.map { it.pending }.shouldBeEmpty()
                histories.flatMap { it.found }.shouldBeEmpty()
            }
        }

        describe("the same histories without the entries' confirmations") {
            it("reboot instances under requests or let them serve two pools") {
                val histories = (1..150).map { seed -> MaintenanceHistory(seed, entriesConfirm = false).also { it.run(steps = 400) } }
                histories.flatMap { it.found }.shouldNotBeEmpty()
            }
        }
    })
