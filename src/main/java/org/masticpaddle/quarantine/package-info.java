/** Attribution of upstream crashes to prompt segments, without input or output: evidence of all gateways, quarantine, trials. */
package org.masticpaddle.quarantine;
