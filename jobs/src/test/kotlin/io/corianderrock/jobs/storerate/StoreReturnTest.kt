/*
 * Covers the return of the store to 300 entries whose callers press: guards against calls that keep refusing each other.
 */
package io.corianderrock.jobs.storerate

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThan

internal class StoreReturnTest :
    DescribeSpec({
        describe("a store that comes back to 300 entries and their callers") {
            // The entries know few of each other, so that the budgets are far too large at first.
            it("refuses less than half as many of their calls from the third second on as without budgets") {
                val budgeted = StoreReturn(entryCount = 300, knownCount = 4, seed = 1).callsBySecond(10)
                val free = StoreReturn(entryCount = 300, knownCount = 4, seed = 1, isBudgeted = false).callsBySecond(10)
                for ((with, without) in budgeted.zip(free).drop(2)) with.refused shouldBeLessThan without.refused / 2
            }
        }
    })
