package org.masticpaddle.billing;

import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

import org.masticpaddle.platform.LogRecord;
import org.masticpaddle.wire.Charge;
import org.masticpaddle.wire.Json;
import org.masticpaddle.wire.MalformedMessageException;

/**
 * Totals of the stream of charges. Only the first charge of each organisation and identity counts; later ones are
 * duplicates. All counted identities stay in memory, which is acceptable because reports cover at most the retention of
 * the log. Not thread-safe.
 */
public final class ChargeTotals {
    private final Set<Identity> countedIdentities = new HashSet<>();
    private final SortedMap<LineItem, Total> totals = new TreeMap<>(Comparator.comparing(LineItem::organisation)
            .thenComparing(LineItem::model)
            .thenComparing(LineItem::version));
    private long nextOffset;

    /** Creates empty totals. */
    public ChargeTotals() {}

    /**
     * Line item of a bill, whose charges are summed up.
     *
     * @param organisation organisation that is billed
     * @param model model, or the name of the plain service
     * @param version version, empty for a plain service
     */
    public record LineItem(String organisation, String model, String version) {}

    /**
     * Sum of the charges of a line item.
     *
     * @param requests number of requests
     * @param promptTokens number of tokens in the prompts
     * @param outputTokens number of tokens in the answers
     * @param billedMicros billed price, in millionths of the currency unit
     * @param internalMicros price of discarded drafts, in millionths of the currency unit
     */
    public record Total(long requests, long promptTokens, long outputTokens, long billedMicros, long internalMicros) {
        private Total add(Charge charge) {
            return new Total(
                    requests + 1,
                    promptTokens + charge.promptTokens(),
                    outputTokens + charge.outputTokens(),
                    billedMicros + charge.billedMicros(),
                    internalMicros + charge.internalMicros());
        }
    }

    private record Identity(String organisation, String identity) {}

    /**
     * Applies the next record.
     *
     * @param record record of the stream; ignored if its offset was applied before or it is not a charge
     * @return whether the charge was counted
     */
    public boolean apply(LogRecord record) {
        Objects.requireNonNull(record, "record is null");
        if (record.offset() < nextOffset) {
            return false;
        }
        nextOffset = record.offset() + 1;
        try {
            return add(Json.decode(record.data(), Charge.class));
        } catch (MalformedMessageException e) {
            return false;
        }
    }

    /**
     * Returns the offset of the next record to apply.
     *
     * @return offset in the stream
     */
    public long nextOffset() {
        return nextOffset;
    }

    /**
     * Returns the totals, ordered by organisation, model and version.
     *
     * @return immutable copy of the totals
     */
    public Map<LineItem, Total> totals() {
        return Collections.unmodifiableSortedMap(new TreeMap<>(totals));
    }

    private boolean add(Charge charge) {
        if (charge.identity() == null
                || charge.organisation() == null
                || charge.model() == null
                || charge.version() == null
                || !countedIdentities.add(new Identity(charge.organisation(), charge.identity()))) {
            return false;
        }
        totals.merge(
                new LineItem(charge.organisation(), charge.model(), charge.version()),
                new Total(0, 0, 0, 0, 0).add(charge),
                (sum, first) -> sum.add(charge));
        return true;
    }
}
