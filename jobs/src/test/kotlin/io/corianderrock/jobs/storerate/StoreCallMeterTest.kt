/*
 * Covers what operators see of the calls to the store: guards against an outage of which only some calls, and not all classes, tell.
 */
package io.corianderrock.jobs.storerate

import io.corianderrock.jobs.ports.ChangeResult
import io.corianderrock.jobs.ports.JobTables
import io.corianderrock.jobs.ports.RowChange
import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.ports.StoreRefusal
import io.corianderrock.jobs.ports.Table
import io.corianderrock.jobs.world.SilentTables
import io.corianderrock.jobs.world.SimLoop
import io.corianderrock.jobs.world.SimTime
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

internal class StoreCallMeterTest :
    DescribeSpec({
        describe("a store that refuses writes for a time") {
            it("is counted by class and logged once when it begins and once when it has settled") {
                val time = SimTime()
                val lines = ArrayList<String>()
                val counts = ArrayList<String>()
                val meter =
                    StoreCallMeter(SimLoop(time), { event, fields -> lines += "$event ${fields.joinToString(" ")}" }) { call, end ->
                        counts += "${call.callClass.label} ${end.label}"
                    }
                var result: ChangeResult = ChangeResult.Failed("status 429", mayHaveApplied = false, StoreRefusal())
                val tables = GatedTables(AnsweringTables { result }, meter)
                repeat(2) { tables.commit(claim()) {} }
                time.runUntil(time.nowMs + 1_000)
                result = ChangeResult.Committed(1)
                repeat(2) { tables.commit(claim()) {} }
                counts shouldBe listOf("ownership refused", "ownership refused", "ownership answered", "ownership answered")
                lines shouldBe
                    listOf(
                        "store_unavailable kind write class ownership outcome refused",
                        "store_available kind write afterMs 1000 refused 2 unanswered 0",
                    )
            }
        }
    })

/** The owner's transactions carry other rows besides the owner row. */
private fun claim() = RowChange(puts = mapOf(RowKey(Table.JOBS, "job") to "", RowKey(Table.OWNERS, "scheduler") to ""))

private class AnsweringTables(
    private val result: () -> ChangeResult,
) : JobTables by SilentTables {
    override fun commit(
        change: RowChange,
        onResult: (ChangeResult) -> Unit,
    ) = onResult(result())
}
