/*
 * Covers jobs that entries store around the owner while the store loses answers and is slow after that.
 */
package io.corianderrock.jobs.storerate

import io.corianderrock.jobs.world.StoreStorm
import io.corianderrock.jobs.world.stormRates
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeLessThan

internal class StoreBacklogTest :
    DescribeSpec({
        describe("a store that loses answers, turns slow and is called by 300 callers around the owner") {
            val records = (1..20).map { StoreStorm(it, stormRates(countsRefused = true), isBudgeted = true, jobCount = 300).run() }

            // Guards against transactions without an answer that fill the part for seconds after the store is sound again.
            it("has carried out what it took by the time it is sound") {
                records.sumOf { it.behindMs } shouldBeLessThan 500
            }
            it("carries out few transactions that change nothing") {
                records.sumOf { it.wastedCount } shouldBeLessThan records.sumOf { it.callersCount } / 50
            }
            it("accepts as many jobs as without the bound on them") {
                records.sumOf { it.acceptedCount } shouldBeGreaterThan 5_820
            }
            it("violates no invariant") {
                records.filter { it.violations.isNotEmpty() }.shouldBeEmpty()
            }
        }
    })
