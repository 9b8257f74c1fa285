import {explore} from './spec/explore.js';
import {escrow,rulesWithout,ESCROW_RULES} from './spec/escrow.js';
for (const r of [undefined,...ESCROW_RULES]) {const t=performance.now();const e=explore(escrow(rulesWithout(r)));console.log(r,e.states,e.counterexample,Math.round(performance.now()-t));}
