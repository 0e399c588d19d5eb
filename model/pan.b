	switch (t->back) {
	default: Uerror("bad return move");
	case  0: goto R999; /* nothing to undo */

		 /* PROC :init: */
	case 3: // STATE 26
		sv_restor();
		goto R999;

	case 4: // STATE 27
		;
		now.r = trpt->bup.oval;
		;
		goto R999;

	case 5: // STATE 28
		;
		now.r = trpt->bup.oval;
		;
		goto R999;

	case 6: // STATE 29
		;
		now.r = trpt->bup.oval;
		;
		goto R999;

	case 7: // STATE 30
		;
		now.r = trpt->bup.oval;
		;
		goto R999;
	case 8: // STATE 58
		sv_restor();
		goto R999;
;
		
	case 9: // STATE 358
		goto R999;
	case 10: // STATE 126
		sv_restor();
		goto R999;
	case 11: // STATE 212
		sv_restor();
		goto R999;
	case 12: // STATE 223
		sv_restor();
		goto R999;
	case 13: // STATE 233
		sv_restor();
		goto R999;
;
		;
		
	case 15: // STATE 235
		;
		now.mask = trpt->bup.oval;
		;
		goto R999;

	case 16: // STATE 237
		;
		now.mask = trpt->bup.oval;
		;
		goto R999;

	case 17: // STATE 257
		;
		now.acked[ Index(((now.term[ Index(now.r, 4) ]*4)+now.r), 16) ] = trpt->bup.ovals[7];
		now.leaderLength[ Index(now.term[ Index(now.r, 4) ], 4) ] = trpt->bup.ovals[6];
		now.diskLength[ Index(now.r, 4) ] = trpt->bup.ovals[5];
		now.length[ Index(now.r, 4) ] = trpt->bup.ovals[4];
		now.leaderMembers[ Index(((now.term[ Index(now.r, 4) ]*3)+now.length[ Index(now.r, 4) ]), 12) ] = trpt->bup.ovals[3];
		now.leaderTerm[ Index(((now.term[ Index(now.r, 4) ]*3)+now.length[ Index(now.r, 4) ]), 12) ] = trpt->bup.ovals[2];
		now.entryMembers[ Index(((now.r*3)+now.length[ Index(now.r, 4) ]), 12) ] = trpt->bup.ovals[1];
		now.entryTerm[ Index(((now.r*3)+now.length[ Index(now.r, 4) ]), 12) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 8);
		goto R999;

	case 18: // STATE 257
		;
		now.acked[ Index(((now.term[ Index(now.r, 4) ]*4)+now.r), 16) ] = trpt->bup.ovals[8];
		now.leaderLength[ Index(now.term[ Index(now.r, 4) ], 4) ] = trpt->bup.ovals[7];
		now.diskLength[ Index(now.r, 4) ] = trpt->bup.ovals[6];
		now.length[ Index(now.r, 4) ] = trpt->bup.ovals[5];
		now.leaderMembers[ Index(((now.term[ Index(now.r, 4) ]*3)+now.length[ Index(now.r, 4) ]), 12) ] = trpt->bup.ovals[4];
		now.leaderTerm[ Index(((now.term[ Index(now.r, 4) ]*3)+now.length[ Index(now.r, 4) ]), 12) ] = trpt->bup.ovals[3];
		now.entryMembers[ Index(((now.r*3)+now.length[ Index(now.r, 4) ]), 12) ] = trpt->bup.ovals[2];
		now.entryTerm[ Index(((now.r*3)+now.length[ Index(now.r, 4) ]), 12) ] = trpt->bup.ovals[1];
		now.mask = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 19: // STATE 257
		;
		now.acked[ Index(((now.term[ Index(now.r, 4) ]*4)+now.r), 16) ] = trpt->bup.ovals[8];
		now.leaderLength[ Index(now.term[ Index(now.r, 4) ], 4) ] = trpt->bup.ovals[7];
		now.diskLength[ Index(now.r, 4) ] = trpt->bup.ovals[6];
		now.length[ Index(now.r, 4) ] = trpt->bup.ovals[5];
		now.leaderMembers[ Index(((now.term[ Index(now.r, 4) ]*3)+now.length[ Index(now.r, 4) ]), 12) ] = trpt->bup.ovals[4];
		now.leaderTerm[ Index(((now.term[ Index(now.r, 4) ]*3)+now.length[ Index(now.r, 4) ]), 12) ] = trpt->bup.ovals[3];
		now.entryMembers[ Index(((now.r*3)+now.length[ Index(now.r, 4) ]), 12) ] = trpt->bup.ovals[2];
		now.entryTerm[ Index(((now.r*3)+now.length[ Index(now.r, 4) ]), 12) ] = trpt->bup.ovals[1];
		now.mask = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 20: // STATE 257
		;
		now.acked[ Index(((now.term[ Index(now.r, 4) ]*4)+now.r), 16) ] = trpt->bup.ovals[7];
		now.leaderLength[ Index(now.term[ Index(now.r, 4) ], 4) ] = trpt->bup.ovals[6];
		now.diskLength[ Index(now.r, 4) ] = trpt->bup.ovals[5];
		now.length[ Index(now.r, 4) ] = trpt->bup.ovals[4];
		now.leaderMembers[ Index(((now.term[ Index(now.r, 4) ]*3)+now.length[ Index(now.r, 4) ]), 12) ] = trpt->bup.ovals[3];
		now.leaderTerm[ Index(((now.term[ Index(now.r, 4) ]*3)+now.length[ Index(now.r, 4) ]), 12) ] = trpt->bup.ovals[2];
		now.entryMembers[ Index(((now.r*3)+now.length[ Index(now.r, 4) ]), 12) ] = trpt->bup.ovals[1];
		now.entryTerm[ Index(((now.r*3)+now.length[ Index(now.r, 4) ]), 12) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 8);
		goto R999;

	case 21: // STATE 262
		;
		now.c = trpt->bup.oval;
		;
		goto R999;

	case 22: // STATE 263
		;
		now.c = trpt->bup.oval;
		;
		goto R999;

	case 23: // STATE 264
		;
		now.c = trpt->bup.oval;
		;
		goto R999;

	case 24: // STATE 265
		;
		now.c = trpt->bup.oval;
		;
		goto R999;

	case 25: // STATE 268
		;
		now.t = trpt->bup.oval;
		;
		goto R999;

	case 26: // STATE 269
		;
		now.t = trpt->bup.oval;
		;
		goto R999;

	case 27: // STATE 270
		;
		now.t = trpt->bup.oval;
		;
		goto R999;
	case 28: // STATE 304
		sv_restor();
		goto R999;

	case 29: // STATE 305
		;
		now.t = trpt->bup.oval;
		;
		goto R999;

	case 30: // STATE 306
		;
		now.t = trpt->bup.oval;
		;
		goto R999;

	case 31: // STATE 307
		;
		now.t = trpt->bup.oval;
		;
		goto R999;

	case 32: // STATE 310
		;
		now.x = trpt->bup.oval;
		;
		goto R999;

	case 33: // STATE 311
		;
		now.x = trpt->bup.oval;
		;
		goto R999;

	case 34: // STATE 312
		;
		now.x = trpt->bup.oval;
		;
		goto R999;
	case 35: // STATE 356
		sv_restor();
		goto R999;
	case 36: // STATE 368
		sv_restor();
		goto R999;

	case 37: // STATE 373
		;
		p_restor(II);
		;
		;
		goto R999;
	}

