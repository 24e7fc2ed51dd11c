/** Pure decisions on roll-outs: stages, sequential health test, observations exchanged between entries. */
package org.masticpaddle.rollout;
