/*
 * The tables of a simulated entry behind a budget for calls to the store, as the platform's entries have it.
 */
package io.corianderrock.jobs.world

import io.corianderrock.jobs.ownership.OwnerRow
import io.corianderrock.jobs.ports.ChangeResult
import io.corianderrock.jobs.ports.JobTables
import io.corianderrock.jobs.ports.ReadResult
import io.corianderrock.jobs.ports.RowChange
import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.ports.Table
import io.corianderrock.jobs.storerate.GatedTables
import io.corianderrock.jobs.storerate.StoreBudget
import io.corianderrock.jobs.storerate.StoreCallClass
import io.corianderrock.jobs.storerate.StoreCallMeter
import io.corianderrock.jobs.storerate.StoreGate
import io.corianderrock.jobs.storerate.StoreRates
import kotlin.random.Random

/** What an entry takes for the rates of the store and the number of entries. */
internal data class SimBudget(
    val rates: StoreRates,
    val entryCount: Int,
)

/** Passes calls through a budget while there is one. Changes without the owner row are those that entries make around the owner. */
internal class BudgetedTables(
    private val entry: SimEntry,
    private val plain: JobTables,
    private val budget: () -> SimBudget?,
) : JobTables {
    private val loop = entry.loop
    private val gate by lazy(LazyThreadSafetyMode.NONE) { newGate(checkNotNull(budget())) }
    private val own by lazy(LazyThreadSafetyMode.NONE) { GatedTables(plain, gate) }
    private val callers by lazy(LazyThreadSafetyMode.NONE) { GatedTables(plain, gate, StoreCallClass.CALLERS) }

    private fun newGate(budget: SimBudget): StoreGate =
        StoreBudget(
            loop = loop,
            rates = budget.rates,
            entryCount = { budget.entryCount },
            meter = StoreCallMeter(loop, { _, _ -> }) { _, _ -> },
            log = { _, _ -> },
            random = Random(entry.name.hashCode()),
        )

    override fun commit(
        change: RowChange,
        onResult: (ChangeResult) -> Unit,
    ) = tables(isCallers = OwnerRow.KEY !in change.puts).commit(change, onResult)

    override fun scan(
        table: Table,
        onResult: (ReadResult) -> Unit,
    ) = tables(isCallers = false).scan(table, onResult)

    override fun read(
        key: RowKey,
        onResult: (ReadResult) -> Unit,
    ) = tables(isCallers = key != OwnerRow.KEY && entry.scheduler == null).read(key, onResult)

    override fun publishWave(
        number: Int,
        isComplete: Boolean,
        onResult: (Boolean) -> Unit,
    ) = tables(isCallers = false).publishWave(number, isComplete, onResult)

    private fun tables(isCallers: Boolean): JobTables =
        when {
            budget() == null -> plain
            isCallers -> callers
            else -> own
        }
}
