package org.masticpaddle.fleet;

/** What a {@link SelfReport} changed in the state of its upstream. The names of the constants are written to the decision log. */
public enum ReportChange {
    /** The upstream states another limit of its requests than before, or none any more. */
    LIMIT,
    /** The upstream is about to stop. */
    LEAVING,
    /** The upstream wants no request for a time that ends later than the one that it asked for before. */
    PUSHED_BACK
}
