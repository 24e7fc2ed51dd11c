package org.masticpaddle.settings;

import java.util.function.DoublePredicate;
import java.util.regex.Pattern;

/** Type of the value of a {@link Setting}, with the pattern and the range of valid values. */
enum SettingType {
    /** Text without whitespace, possibly empty. */
    NAME("a name without whitespace", "\\S*"),
    /** Integer from 0 to 999,999,999. */
    NON_NEGATIVE_INTEGER("a whole number of at least 0", "\\d{1,9}"),
    /** Integer from 1 to 999,999,999. */
    POSITIVE_INTEGER("a whole number of at least 1", "0*[1-9]\\d{0,8}"),
    /** Decimal number from 0 to 1. */
    FRACTION("a number from 0 to 1", Decimals.PATTERN, 0, 1),
    /** Decimal number from 0 to 999,999,999. */
    NON_NEGATIVE_DECIMAL("a number of at least 0", Decimals.PATTERN, 0, Decimals.MAX),
    /** Decimal number from 1 to 999,999,999. */
    POSITIVE_DECIMAL("a number of at least 1", Decimals.PATTERN, 1, Decimals.MAX),
    /** Origin of an HTTP server, possibly empty. */
    ORIGIN("an origin, for example http://127.0.0.1:8080", "(http://[A-Za-z0-9.:\\[\\]-]+:\\d{1,5})?"),
    /** Comma-separated list, possibly empty. */
    LIST("a comma-separated list", ".*"),
    /** Role of a process. */
    ROLE("entry, sidecar or gateway", "entry|sidecar|gateway"),
    /** Kind of an upstream. */
    UPSTREAM_KIND("engine or plain", "engine|plain"),
    /** Whether learned speeds of upstreams count. */
    UPSTREAM_SPEEDS("learned or ignored", "learned|ignored"),
    /** Order of urgency. */
    URGENCY("rank or route_within_rank", "rank|route_within_rank"),
    /** How doubtful drafts are weighed against answers of the largest model. */
    ESCALATION("in_time or by_value", "in_time|by_value"),
    /** Whether upstreams that have just started or recovered are paced. */
    PACE("adaptive or none", "adaptive|none");

    private final String expected;
    private final Pattern pattern;
    private final DoublePredicate range;

    SettingType(String expected, String pattern) {
        this.expected = expected;
        this.pattern = Pattern.compile(pattern);
        range = null;
    }

    SettingType(String expected, String pattern, double min, double max) {
        this.expected = expected;
        this.pattern = Pattern.compile(pattern);
        range = value -> value >= min && value <= max;
    }

    String expected() {
        return expected;
    }

    boolean accepts(String value) {
        return pattern.matcher(value).matches() && (range == null || range.test(Double.parseDouble(value)));
    }

    /** Decimal numbers with all digits, and the exponent, that a platform may print for a computed figure. */
    private static final class Decimals {
        static final String PATTERN = "\\d{1,9}(\\.\\d{1,40})?([eE][+-]?\\d{1,2})?";
        static final double MAX = 999_999_999;
    }
}
