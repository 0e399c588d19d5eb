#define rand	pan_rand
#define pthread_equal(a,b)	((a)==(b))
#if defined(HAS_CODE) && defined(VERBOSE)
	#ifdef BFS_PAR
		bfs_printf("Pr: %d Tr: %d\n", II, t->forw);
	#else
		cpu_printf("Pr: %d Tr: %d\n", II, t->forw);
	#endif
#endif
	switch (t->forw) {
	default: Uerror("bad forward move");
	case 0:	/* if without executable clauses */
		continue;
	case 1: /* generic 'goto' or 'skip' */
		IfNotBlocked
		_m = 3; goto P999;
	case 2: /* generic 'else' */
		IfNotBlocked
		if (trpt->o_pm&1) continue;
		_m = 3; goto P999;

		 /* PROC :init: */
	case 3: // STATE 26 - agreement.pml:327 - [D_STEP327]
		IfNotBlocked

		reached[0][26] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_000_0: /* 2 */
		now.r = 0;
#ifdef VAR_RANGES
		logval("r", ((int)now.r));
#endif
		;
S_009_0: /* 2 */
S_008_0: /* 2 */
S_001_0: /* 2 */
		if (!((((int)now.r)<=(4-1))))
			goto S_008_1;
S_002_0: /* 2 */
		now.vote[ Index(now.r, 4) ] = 7;
#ifdef VAR_RANGES
		logval("vote[r]", ((int)now.vote[ Index(((int)now.r), 4) ]));
#endif
		;
S_003_0: /* 2 */
		now.diskVote[ Index(now.r, 4) ] = 7;
#ifdef VAR_RANGES
		logval("diskVote[r]", ((int)now.diskVote[ Index(((int)now.r), 4) ]));
#endif
		;
S_004_0: /* 2 */
		now.alive[ Index(now.r, 4) ] = (((int)now.r)<3);
#ifdef VAR_RANGES
		logval("alive[r]", ((int)now.alive[ Index(((int)now.r), 4) ]));
#endif
		;
S_005_0: /* 2 */
		now.r = (((int)now.r)+1);
#ifdef VAR_RANGES
		logval("r", ((int)now.r));
#endif
		;
		goto S_009_0; /* ';' */
S_008_1: /* 3 */
S_006_0: /* 2 */
		/* else */;
S_007_0: /* 2 */
		goto S_011_0;	/* 'goto' */
S_008_2: /* 3 */
		Uerror("blocking sel in d_step (nr.0, near line 332)");
S_010_0: /* 2 */
		goto S_011_0;	/* 'break' */
S_011_0: /* 2 */
		now.t = 0;
#ifdef VAR_RANGES
		logval("t", ((int)now.t));
#endif
		;
S_018_0: /* 2 */
S_017_0: /* 2 */
S_012_0: /* 2 */
		if (!((((int)now.t)<=3)))
			goto S_017_1;
S_013_0: /* 2 */
		now.leaderOf[ Index(now.t, 4) ] = 7;
#ifdef VAR_RANGES
		logval("leaderOf[t]", ((int)now.leaderOf[ Index(((int)now.t), 4) ]));
#endif
		;
S_014_0: /* 2 */
		now.t = (((int)now.t)+1);
#ifdef VAR_RANGES
		logval("t", ((int)now.t));
#endif
		;
		goto S_018_0; /* ';' */
S_017_1: /* 3 */
S_015_0: /* 2 */
		/* else */;
S_016_0: /* 2 */
		goto S_020_0;	/* 'goto' */
S_017_2: /* 3 */
		Uerror("blocking sel in d_step (nr.1, near line 335)");
S_019_0: /* 2 */
		goto S_020_0;	/* 'break' */
S_020_0: /* 2 */
		now.r = 0;
#ifdef VAR_RANGES
		logval("r", ((int)now.r));
#endif
		;
S_021_0: /* 2 */
		now.t = 0;
#ifdef VAR_RANGES
		logval("t", ((int)now.t));
#endif
		;
S_022_0: /* 2 */
		now.i = 0;
#ifdef VAR_RANGES
		logval("i", ((int)now.i));
#endif
		;
S_023_0: /* 2 */
		now.x = 0;
#ifdef VAR_RANGES
		logval("x", ((int)now.x));
#endif
		;
S_024_0: /* 2 */
		now.c = 0;
#ifdef VAR_RANGES
		logval("c", ((int)now.c));
#endif
		;
		goto S_370_0;
S_370_0: /* 1 */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 4: // STATE 27 - agreement.pml:340 - [r = 0] (0:0:1 - 1)
		IfNotBlocked
		reached[0][27] = 1;
		(trpt+1)->bup.oval = ((int)now.r);
		now.r = 0;
#ifdef VAR_RANGES
		logval("r", ((int)now.r));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 5: // STATE 28 - agreement.pml:340 - [r = 1] (0:0:1 - 1)
		IfNotBlocked
		reached[0][28] = 1;
		(trpt+1)->bup.oval = ((int)now.r);
		now.r = 1;
#ifdef VAR_RANGES
		logval("r", ((int)now.r));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 6: // STATE 29 - agreement.pml:340 - [r = 2] (0:0:1 - 1)
		IfNotBlocked
		reached[0][29] = 1;
		(trpt+1)->bup.oval = ((int)now.r);
		now.r = 2;
#ifdef VAR_RANGES
		logval("r", ((int)now.r));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 7: // STATE 30 - agreement.pml:340 - [r = 3] (0:0:1 - 1)
		IfNotBlocked
		reached[0][30] = 1;
		(trpt+1)->bup.oval = ((int)now.r);
		now.r = 3;
#ifdef VAR_RANGES
		logval("r", ((int)now.r));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 8: // STATE 58 - agreement.pml:342 - [D_STEP342]
		IfNotBlocked

		reached[0][58] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;


		reached[0][58] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		sv_save();
		S_056_0: /* 2 */
S_038_0: /* 2 */
S_032_0: /* 2 */
		now.mask = 7;
#ifdef VAR_RANGES
		logval("mask", ((int)now.mask));
#endif
		;
S_036_0: /* 2 */
S_033_0: /* 2 */
		if (!((((int)now.length[ Index(((int)now.r), 4) ])>0)))
			goto S_036_1;
S_034_0: /* 2 */
		now.mask = ((int)now.entryMembers[ Index(((((int)now.r)*3)+(((int)now.length[ Index(((int)now.r), 4) ])-1)), 12) ]);
#ifdef VAR_RANGES
		logval("mask", ((int)now.mask));
#endif
		;
		goto S_037_0;
S_036_1: /* 3 */
S_035_0: /* 2 */
		/* else */;
		goto S_037_0;
S_036_2: /* 3 */
		Uerror("blocking sel in d_step (nr.2, near line 75)");
S_037_0: /* 2 */
		goto S_054_0;
S_054_0: /* 2 */
S_039_0: /* 2 */
		if (!((((((int)now.alive[ Index(((int)now.r), 4) ])&& !(((int)now.leads[ Index(((int)now.r), 4) ])))&&(((int)now.term[ Index(((int)now.r), 4) ])<3))&&((((int)now.mask)>>((int)now.r))&1))))
			goto S_054_1;
S_040_0: /* 2 */
		now.term[ Index(now.r, 4) ] = (((int)now.term[ Index(((int)now.r), 4) ])+1);
#ifdef VAR_RANGES
		logval("term[r]", ((int)now.term[ Index(((int)now.r), 4) ]));
#endif
		;
S_041_0: /* 2 */
		now.vote[ Index(now.r, 4) ] = ((int)now.r);
#ifdef VAR_RANGES
		logval("vote[r]", ((int)now.vote[ Index(((int)now.r), 4) ]));
#endif
		;
S_042_0: /* 2 */
		now.diskTerm[ Index(now.r, 4) ] = ((int)now.term[ Index(((int)now.r), 4) ]);
#ifdef VAR_RANGES
		logval("diskTerm[r]", ((int)now.diskTerm[ Index(((int)now.r), 4) ]));
#endif
		;
S_043_0: /* 2 */
		now.diskVote[ Index(now.r, 4) ] = ((int)now.r);
#ifdef VAR_RANGES
		logval("diskVote[r]", ((int)now.diskVote[ Index(((int)now.r), 4) ]));
#endif
		;
S_044_0: /* 2 */
		now.asked[ Index(((now.term[ Index(now.r, 4) ]*4)+now.r), 16) ] = 1;
#ifdef VAR_RANGES
		logval("asked[((term[r]*4)+r)]", ((int)now.asked[ Index(((((int)now.term[ Index(((int)now.r), 4) ])*4)+((int)now.r)), 16) ]));
#endif
		;
S_045_0: /* 2 */
		now.askedLength[ Index(((now.term[ Index(now.r, 4) ]*4)+now.r), 16) ] = ((int)now.length[ Index(((int)now.r), 4) ]);
#ifdef VAR_RANGES
		logval("askedLength[((term[r]*4)+r)]", ((int)now.askedLength[ Index(((((int)now.term[ Index(((int)now.r), 4) ])*4)+((int)now.r)), 16) ]));
#endif
		;
S_046_0: /* 2 */
		now.askedTerm[ Index(((now.term[ Index(now.r, 4) ]*4)+now.r), 16) ] = 0;
#ifdef VAR_RANGES
		logval("askedTerm[((term[r]*4)+r)]", ((int)now.askedTerm[ Index(((((int)now.term[ Index(((int)now.r), 4) ])*4)+((int)now.r)), 16) ]));
#endif
		;
S_050_0: /* 2 */
S_047_0: /* 2 */
		if (!((((int)now.length[ Index(((int)now.r), 4) ])>0)))
			goto S_050_1;
S_048_0: /* 2 */
		now.askedTerm[ Index(((now.term[ Index(now.r, 4) ]*4)+now.r), 16) ] = ((int)now.entryTerm[ Index(((((int)now.r)*3)+(((int)now.length[ Index(((int)now.r), 4) ])-1)), 12) ]);
#ifdef VAR_RANGES
		logval("askedTerm[((term[r]*4)+r)]", ((int)now.askedTerm[ Index(((((int)now.term[ Index(((int)now.r), 4) ])*4)+((int)now.r)), 16) ]));
#endif
		;
		goto S_051_0;
S_050_1: /* 3 */
S_049_0: /* 2 */
		/* else */;
		goto S_051_0;
S_050_2: /* 3 */
		Uerror("blocking sel in d_step (nr.3, near line 128)");
S_051_0: /* 2 */
S_052_0: /* 2 */
		now.granted[ Index(((now.term[ Index(now.r, 4) ]*4)+now.r), 16) ] = (1<<((int)now.r));
#ifdef VAR_RANGES
		logval("granted[((term[r]*4)+r)]", ((int)now.granted[ Index(((((int)now.term[ Index(((int)now.r), 4) ])*4)+((int)now.r)), 16) ]));
#endif
		;
		goto S_055_0;
S_054_1: /* 3 */
S_053_0: /* 2 */
		/* else */;
		goto S_055_0;
S_054_2: /* 3 */
		Uerror("blocking sel in d_step (nr.4, near line 119)");
S_055_0: /* 2 */
		goto S_357_0;
S_357_0: /* 1 */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 9: // STATE 358 - agreement.pml:356 - [.(goto)] (0:368:0 - 17)
		IfNotBlocked
		reached[0][358] = 1;
		;
		_m = 3; goto P999; /* 0 */
	case 10: // STATE 126 - agreement.pml:343 - [D_STEP343]
		IfNotBlocked

		reached[0][126] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;


		reached[0][126] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		sv_save();
		S_124_0: /* 2 */
S_064_0: /* 2 */
S_058_0: /* 2 */
		now.mask = 7;
#ifdef VAR_RANGES
		logval("mask", ((int)now.mask));
#endif
		;
S_062_0: /* 2 */
S_059_0: /* 2 */
		if (!((((int)now.length[ Index(((int)now.r), 4) ])>0)))
			goto S_062_1;
S_060_0: /* 2 */
		now.mask = ((int)now.entryMembers[ Index(((((int)now.r)*3)+(((int)now.length[ Index(((int)now.r), 4) ])-1)), 12) ]);
#ifdef VAR_RANGES
		logval("mask", ((int)now.mask));
#endif
		;
		goto S_063_0;
S_062_1: /* 3 */
S_061_0: /* 2 */
		/* else */;
		goto S_063_0;
S_062_2: /* 3 */
		Uerror("blocking sel in d_step (nr.5, near line 75)");
S_063_0: /* 2 */
		goto S_122_0;
S_122_0: /* 2 */
S_065_0: /* 2 */
		if (!((((((int)now.alive[ Index(((int)now.r), 4) ])&& !(((int)now.leads[ Index(((int)now.r), 4) ])))&&(((int)now.vote[ Index(((int)now.r), 4) ])==((int)now.r)))&&((int)now.asked[ Index(((((int)now.term[ Index(((int)now.r), 4) ])*4)+((int)now.r)), 16) ]))))
			goto S_122_1;
S_086_0: /* 2 */
S_066_0: /* 2 */
		now.count = 0;
#ifdef VAR_RANGES
		logval("count", ((int)now.count));
#endif
		;
S_067_0: /* 2 */
		now.size = 0;
#ifdef VAR_RANGES
		logval("size", ((int)now.size));
#endif
		;
S_068_0: /* 2 */
		now.x = 0;
#ifdef VAR_RANGES
		logval("x", ((int)now.x));
#endif
		;
S_084_0: /* 2 */
S_083_0: /* 2 */
S_069_0: /* 2 */
		if (!((((int)now.x)<=(4-1))))
			goto S_083_1;
S_078_0: /* 2 */
S_070_0: /* 2 */
		if (!(((((int)now.mask)>>((int)now.x))&1)))
			goto S_078_1;
S_071_0: /* 2 */
		now.size = (((int)now.size)+1);
#ifdef VAR_RANGES
		logval("size", ((int)now.size));
#endif
		;
S_075_0: /* 2 */
S_072_0: /* 2 */
		if (!(((((int)now.granted[ Index(((((int)now.term[ Index(((int)now.r), 4) ])*4)+((int)now.r)), 16) ])>>((int)now.x))&1)))
			goto S_075_1;
S_073_0: /* 2 */
		now.count = (((int)now.count)+1);
#ifdef VAR_RANGES
		logval("count", ((int)now.count));
#endif
		;
		goto S_076_0;
S_075_1: /* 3 */
S_074_0: /* 2 */
		/* else */;
		goto S_076_0;
S_075_2: /* 3 */
		Uerror("blocking sel in d_step (nr.6, near line 87)");
S_076_0: /* 2 */
		goto S_079_0;
S_078_1: /* 3 */
S_077_0: /* 2 */
		/* else */;
		goto S_079_0;
S_078_2: /* 3 */
		Uerror("blocking sel in d_step (nr.7, near line 84)");
S_079_0: /* 2 */
S_080_0: /* 2 */
		now.x = (((int)now.x)+1);
#ifdef VAR_RANGES
		logval("x", ((int)now.x));
#endif
		;
		goto S_084_0; /* ';' */
S_083_1: /* 3 */
S_081_0: /* 2 */
		/* else */;
S_082_0: /* 2 */
		goto S_119_0;	/* 'goto' */
S_083_2: /* 3 */
		Uerror("blocking sel in d_step (nr.8, near line 90)");
S_085_0: /* 2 */
		goto S_119_0;	/* 'break' */
		goto S_119_0;
S_119_0: /* 2 */
S_087_0: /* 2 */
		if (!((((((int)now.count)*2)>((int)now.size))&&(((int)now.leaderOf[ Index(((int)now.term[ Index(((int)now.r), 4) ]), 4) ])==7))))
			goto S_119_1;
S_088_0: /* 2 */
		now.leads[ Index(now.r, 4) ] = 1;
#ifdef VAR_RANGES
		logval("leads[r]", ((int)now.leads[ Index(((int)now.r), 4) ]));
#endif
		;
S_089_0: /* 2 */
		now.leaderOf[ Index(now.term[ Index(now.r, 4) ], 4) ] = ((int)now.r);
#ifdef VAR_RANGES
		logval("leaderOf[term[r]]", ((int)now.leaderOf[ Index(((int)now.term[ Index(((int)now.r), 4) ]), 4) ]));
#endif
		;
S_090_0: /* 2 */
		now.leaderLength[ Index(now.term[ Index(now.r, 4) ], 4) ] = ((int)now.length[ Index(((int)now.r), 4) ]);
#ifdef VAR_RANGES
		logval("leaderLength[term[r]]", ((int)now.leaderLength[ Index(((int)now.term[ Index(((int)now.r), 4) ]), 4) ]));
#endif
		;
S_091_0: /* 2 */
		now.i = 0;
#ifdef VAR_RANGES
		logval("i", ((int)now.i));
#endif
		;
S_099_0: /* 2 */
S_098_0: /* 2 */
S_092_0: /* 2 */
		if (!((((int)now.i)<=(3-1))))
			goto S_098_1;
S_093_0: /* 2 */
		now.leaderTerm[ Index(((now.term[ Index(now.r, 4) ]*3)+now.i), 12) ] = ((int)now.entryTerm[ Index(((((int)now.r)*3)+((int)now.i)), 12) ]);
#ifdef VAR_RANGES
		logval("leaderTerm[((term[r]*3)+i)]", ((int)now.leaderTerm[ Index(((((int)now.term[ Index(((int)now.r), 4) ])*3)+((int)now.i)), 12) ]));
#endif
		;
S_094_0: /* 2 */
		now.leaderMembers[ Index(((now.term[ Index(now.r, 4) ]*3)+now.i), 12) ] = ((int)now.entryMembers[ Index(((((int)now.r)*3)+((int)now.i)), 12) ]);
#ifdef VAR_RANGES
		logval("leaderMembers[((term[r]*3)+i)]", ((int)now.leaderMembers[ Index(((((int)now.term[ Index(((int)now.r), 4) ])*3)+((int)now.i)), 12) ]));
#endif
		;
S_095_0: /* 2 */
		now.i = (((int)now.i)+1);
#ifdef VAR_RANGES
		logval("i", ((int)now.i));
#endif
		;
		goto S_099_0; /* ';' */
S_098_1: /* 3 */
S_096_0: /* 2 */
		/* else */;
S_097_0: /* 2 */
		goto S_101_0;	/* 'goto' */
S_098_2: /* 3 */
		Uerror("blocking sel in d_step (nr.9, near line 173)");
S_100_0: /* 2 */
		goto S_101_0;	/* 'break' */
S_101_0: /* 2 */
		now.acked[ Index(((now.term[ Index(now.r, 4) ]*4)+now.r), 16) ] = ((int)now.length[ Index(((int)now.r), 4) ]);
#ifdef VAR_RANGES
		logval("acked[((term[r]*4)+r)]", ((int)now.acked[ Index(((((int)now.term[ Index(((int)now.r), 4) ])*4)+((int)now.r)), 16) ]));
#endif
		;
S_102_0: /* 2 */
		spin_assert((((int)now.length[ Index(((int)now.r), 4) ])>=((int)now.committed)), "(length[r]>=committed)", II, tt, t);
S_103_0: /* 2 */
		now.i = 0;
#ifdef VAR_RANGES
		logval("i", ((int)now.i));
#endif
		;
S_114_0: /* 2 */
S_113_0: /* 2 */
S_104_0: /* 2 */
		if (!((((int)now.i)<=(3-1))))
			goto S_113_1;
S_108_0: /* 2 */
S_105_0: /* 2 */
		if (!((((int)now.i)<((int)now.committed))))
			goto S_108_1;
S_106_0: /* 2 */
		spin_assert((((int)now.entryTerm[ Index(((((int)now.r)*3)+((int)now.i)), 12) ])==((int)now.committedTerm[ Index(((int)now.i), 3) ])), "(entryTerm[((r*3)+i)]==committedTerm[i])", II, tt, t);
		goto S_109_0;
S_108_1: /* 3 */
S_107_0: /* 2 */
		/* else */;
		goto S_109_0;
S_108_2: /* 3 */
		Uerror("blocking sel in d_step (nr.10, near line 178)");
S_109_0: /* 2 */
S_110_0: /* 2 */
		now.i = (((int)now.i)+1);
#ifdef VAR_RANGES
		logval("i", ((int)now.i));
#endif
		;
		goto S_114_0; /* ';' */
S_113_1: /* 3 */
S_111_0: /* 2 */
		/* else */;
S_112_0: /* 2 */
		goto S_120_0;	/* 'goto' */
S_113_2: /* 3 */
		Uerror("blocking sel in d_step (nr.11, near line 182)");
S_115_0: /* 2 */
		goto S_120_0;	/* 'break' */
		goto S_120_0;
S_119_1: /* 3 */
S_116_0: /* 2 */
		if (!((((((int)now.count)*2)>((int)now.size))&&(((int)now.leaderOf[ Index(((int)now.term[ Index(((int)now.r), 4) ]), 4) ])!=7))))
			goto S_119_2;
S_117_0: /* 2 */
		spin_assert((((int)now.leaderOf[ Index(((int)now.term[ Index(((int)now.r), 4) ]), 4) ])==((int)now.r)), "(leaderOf[term[r]]==r)", II, tt, t);
		goto S_120_0;
S_119_2: /* 3 */
S_118_0: /* 2 */
		/* else */;
		goto S_120_0;
S_119_3: /* 3 */
		Uerror("blocking sel in d_step (nr.12, near line 165)");
S_120_0: /* 2 */
		goto S_123_0;
S_122_1: /* 3 */
S_121_0: /* 2 */
		/* else */;
		goto S_123_0;
S_122_2: /* 3 */
		Uerror("blocking sel in d_step (nr.13, near line 162)");
S_123_0: /* 2 */
		goto S_357_0; /* '.' */
		goto S_357_0; /* ';' */
		goto S_357_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 11: // STATE 212 - agreement.pml:344 - [D_STEP344]
		if (!(((boq == -1 && ((((int)now.alive[ Index(((int)now.r), 4) ])&&((int)now.leads[ Index(((int)now.r), 4) ]))&&(((int)now.leaderCommit[ Index(((int)now.term[ Index(((int)now.r), 4) ]), 4) ])<((int)now.length[ Index(((int)now.r), 4) ]))))) || (boq == -1 /* else */)))
			continue;

		reached[0][212] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;


		reached[0][212] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		sv_save();
		S_210_0: /* 2 */
S_208_0: /* 2 */
S_126_0: /* 2 */
		if (!(((((int)now.alive[ Index(((int)now.r), 4) ])&&((int)now.leads[ Index(((int)now.r), 4) ]))&&(((int)now.leaderCommit[ Index(((int)now.term[ Index(((int)now.r), 4) ]), 4) ])<((int)now.length[ Index(((int)now.r), 4) ])))))
			goto S_208_1;
S_127_0: /* 2 */
		now.t = ((int)now.term[ Index(((int)now.r), 4) ]);
#ifdef VAR_RANGES
		logval("t", ((int)now.t));
#endif
		;
S_128_0: /* 2 */
		now.i = ((int)now.leaderCommit[ Index(((int)now.t), 4) ]);
#ifdef VAR_RANGES
		logval("i", ((int)now.i));
#endif
		;
S_135_0: /* 2 */
S_129_0: /* 2 */
		now.mask = 7;
#ifdef VAR_RANGES
		logval("mask", ((int)now.mask));
#endif
		;
S_133_0: /* 2 */
S_130_0: /* 2 */
		if (!((((int)now.length[ Index(((int)now.r), 4) ])>0)))
			goto S_133_1;
S_131_0: /* 2 */
		now.mask = ((int)now.entryMembers[ Index(((((int)now.r)*3)+(((int)now.length[ Index(((int)now.r), 4) ])-1)), 12) ]);
#ifdef VAR_RANGES
		logval("mask", ((int)now.mask));
#endif
		;
		goto S_134_0;
S_133_1: /* 3 */
S_132_0: /* 2 */
		/* else */;
		goto S_134_0;
S_133_2: /* 3 */
		Uerror("blocking sel in d_step (nr.14, near line 75)");
S_134_0: /* 2 */
		goto S_141_0;
S_141_0: /* 2 */
S_140_0: /* 2 */
S_136_0: /* 2 */
		if (!(((((int)now.i)<(((int)now.length[ Index(((int)now.r), 4) ])-1))&&(((int)now.entryTerm[ Index(((((int)now.r)*3)+((int)now.i)), 12) ])!=((int)now.t)))))
			goto S_140_1;
S_137_0: /* 2 */
		now.i = (((int)now.i)+1);
#ifdef VAR_RANGES
		logval("i", ((int)now.i));
#endif
		;
		goto S_141_0; /* ';' */
S_140_1: /* 3 */
S_138_0: /* 2 */
		/* else */;
S_139_0: /* 2 */
		goto S_143_0;	/* 'goto' */
S_140_2: /* 3 */
		Uerror("blocking sel in d_step (nr.15, near line 265)");
S_142_0: /* 2 */
		goto S_143_0;	/* 'break' */
S_143_0: /* 2 */
		now.c = 0;
#ifdef VAR_RANGES
		logval("c", ((int)now.c));
#endif
		;
S_144_0: /* 2 */
		now.x = 0;
#ifdef VAR_RANGES
		logval("x", ((int)now.x));
#endif
		;
S_155_0: /* 2 */
S_154_0: /* 2 */
S_145_0: /* 2 */
		if (!((((int)now.x)<=(4-1))))
			goto S_154_1;
S_149_0: /* 2 */
S_146_0: /* 2 */
		if (!((((int)now.acked[ Index(((((int)now.t)*4)+((int)now.x)), 16) ])>((int)now.i))))
			goto S_149_1;
S_147_0: /* 2 */
		now.c = (((int)now.c)|(1<<((int)now.x)));
#ifdef VAR_RANGES
		logval("c", ((int)now.c));
#endif
		;
		goto S_150_0;
S_149_1: /* 3 */
S_148_0: /* 2 */
		/* else */;
		goto S_150_0;
S_149_2: /* 3 */
		Uerror("blocking sel in d_step (nr.16, near line 272)");
S_150_0: /* 2 */
S_151_0: /* 2 */
		now.x = (((int)now.x)+1);
#ifdef VAR_RANGES
		logval("x", ((int)now.x));
#endif
		;
		goto S_155_0; /* ';' */
S_154_1: /* 3 */
S_152_0: /* 2 */
		/* else */;
S_153_0: /* 2 */
		goto S_177_0;	/* 'goto' */
S_154_2: /* 3 */
		Uerror("blocking sel in d_step (nr.17, near line 273)");
S_156_0: /* 2 */
		goto S_177_0;	/* 'break' */
S_177_0: /* 2 */
S_157_0: /* 2 */
		now.count = 0;
#ifdef VAR_RANGES
		logval("count", ((int)now.count));
#endif
		;
S_158_0: /* 2 */
		now.size = 0;
#ifdef VAR_RANGES
		logval("size", ((int)now.size));
#endif
		;
S_159_0: /* 2 */
		now.x = 0;
#ifdef VAR_RANGES
		logval("x", ((int)now.x));
#endif
		;
S_175_0: /* 2 */
S_174_0: /* 2 */
S_160_0: /* 2 */
		if (!((((int)now.x)<=(4-1))))
			goto S_174_1;
S_169_0: /* 2 */
S_161_0: /* 2 */
		if (!(((((int)now.mask)>>((int)now.x))&1)))
			goto S_169_1;
S_162_0: /* 2 */
		now.size = (((int)now.size)+1);
#ifdef VAR_RANGES
		logval("size", ((int)now.size));
#endif
		;
S_166_0: /* 2 */
S_163_0: /* 2 */
		if (!(((((int)now.c)>>((int)now.x))&1)))
			goto S_166_1;
S_164_0: /* 2 */
		now.count = (((int)now.count)+1);
#ifdef VAR_RANGES
		logval("count", ((int)now.count));
#endif
		;
		goto S_167_0;
S_166_1: /* 3 */
S_165_0: /* 2 */
		/* else */;
		goto S_167_0;
S_166_2: /* 3 */
		Uerror("blocking sel in d_step (nr.18, near line 87)");
S_167_0: /* 2 */
		goto S_170_0;
S_169_1: /* 3 */
S_168_0: /* 2 */
		/* else */;
		goto S_170_0;
S_169_2: /* 3 */
		Uerror("blocking sel in d_step (nr.19, near line 84)");
S_170_0: /* 2 */
S_171_0: /* 2 */
		now.x = (((int)now.x)+1);
#ifdef VAR_RANGES
		logval("x", ((int)now.x));
#endif
		;
		goto S_175_0; /* ';' */
S_174_1: /* 3 */
S_172_0: /* 2 */
		/* else */;
S_173_0: /* 2 */
		goto S_178_0;	/* 'goto' */
S_174_2: /* 3 */
		Uerror("blocking sel in d_step (nr.20, near line 90)");
S_176_0: /* 2 */
		goto S_178_0;	/* 'break' */
		goto S_178_0;
S_178_0: /* 2 */
		now.allowed = ((((int)now.count)*2)>((int)now.size));
#ifdef VAR_RANGES
		logval("allowed", ((int)now.allowed));
#endif
		;
S_179_0: /* 2 */
		now.allowed = (((int)now.allowed)&&(((int)now.entryTerm[ Index(((((int)now.r)*3)+((int)now.i)), 12) ])==((int)now.t)));
#ifdef VAR_RANGES
		logval("allowed", ((int)now.allowed));
#endif
		;
S_205_0: /* 2 */
S_180_0: /* 2 */
		if (!(((int)now.allowed)))
			goto S_205_1;
S_181_0: /* 2 */
		now.leaderCommit[ Index(now.t, 4) ] = (((int)now.i)+1);
#ifdef VAR_RANGES
		logval("leaderCommit[t]", ((int)now.leaderCommit[ Index(((int)now.t), 4) ]));
#endif
		;
S_182_0: /* 2 */
		now.x = 0;
#ifdef VAR_RANGES
		logval("x", ((int)now.x));
#endif
		;
S_197_0: /* 2 */
S_196_0: /* 2 */
S_183_0: /* 2 */
		if (!((((int)now.x)<=(3-1))))
			goto S_196_1;
S_191_0: /* 2 */
S_184_0: /* 2 */
		if (!(((((int)now.x)<=((int)now.i))&&(((int)now.x)<((int)now.committed)))))
			goto S_191_1;
S_185_0: /* 2 */
		spin_assert((((int)now.entryTerm[ Index(((((int)now.r)*3)+((int)now.x)), 12) ])==((int)now.committedTerm[ Index(((int)now.x), 3) ])), "(entryTerm[((r*3)+x)]==committedTerm[x])", II, tt, t);
S_186_0: /* 2 */
		spin_assert((((int)now.entryMembers[ Index(((((int)now.r)*3)+((int)now.x)), 12) ])==((int)now.committedMembers[ Index(((int)now.x), 3) ])), "(entryMembers[((r*3)+x)]==committedMembers[x])", II, tt, t);
		goto S_192_0;
S_191_1: /* 3 */
S_187_0: /* 2 */
		if (!(((((int)now.x)<=((int)now.i))&&(((int)now.x)>=((int)now.committed)))))
			goto S_191_2;
S_188_0: /* 2 */
		now.committedTerm[ Index(now.x, 3) ] = ((int)now.entryTerm[ Index(((((int)now.r)*3)+((int)now.x)), 12) ]);
#ifdef VAR_RANGES
		logval("committedTerm[x]", ((int)now.committedTerm[ Index(((int)now.x), 3) ]));
#endif
		;
S_189_0: /* 2 */
		now.committedMembers[ Index(now.x, 3) ] = ((int)now.entryMembers[ Index(((((int)now.r)*3)+((int)now.x)), 12) ]);
#ifdef VAR_RANGES
		logval("committedMembers[x]", ((int)now.committedMembers[ Index(((int)now.x), 3) ]));
#endif
		;
		goto S_192_0;
S_191_2: /* 3 */
S_190_0: /* 2 */
		/* else */;
		goto S_192_0;
S_191_3: /* 3 */
		Uerror("blocking sel in d_step (nr.21, near line 283)");
S_192_0: /* 2 */
S_193_0: /* 2 */
		now.x = (((int)now.x)+1);
#ifdef VAR_RANGES
		logval("x", ((int)now.x));
#endif
		;
		goto S_197_0; /* ';' */
S_196_1: /* 3 */
S_194_0: /* 2 */
		/* else */;
S_195_0: /* 2 */
		goto S_202_0;	/* 'goto' */
S_196_2: /* 3 */
		Uerror("blocking sel in d_step (nr.22, near line 293)");
S_198_0: /* 2 */
		goto S_202_0;	/* 'break' */
S_202_0: /* 2 */
S_199_0: /* 2 */
		if (!((((int)now.committed)<(((int)now.i)+1))))
			goto S_202_1;
S_200_0: /* 2 */
		now.committed = (((int)now.i)+1);
#ifdef VAR_RANGES
		logval("committed", ((int)now.committed));
#endif
		;
		goto S_203_0;
S_202_1: /* 3 */
S_201_0: /* 2 */
		/* else */;
		goto S_203_0;
S_202_2: /* 3 */
		Uerror("blocking sel in d_step (nr.23, near line 294)");
S_203_0: /* 2 */
		goto S_206_0;
S_205_1: /* 3 */
S_204_0: /* 2 */
		/* else */;
		goto S_206_0;
S_205_2: /* 3 */
		Uerror("blocking sel in d_step (nr.24, near line 279)");
S_206_0: /* 2 */
		goto S_209_0;
S_208_1: /* 3 */
S_207_0: /* 2 */
		/* else */;
		goto S_209_0;
S_208_2: /* 3 */
		Uerror("blocking sel in d_step (nr.25, near line 258)");
S_209_0: /* 2 */
		goto S_357_0; /* '.' */
		goto S_357_0; /* ';' */
		goto S_357_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 12: // STATE 223 - agreement.pml:345 - [D_STEP345]
		if (!(((boq == -1 && (((int)now.alive[ Index(((int)now.r), 4) ])&&(((int)now.crashes)<1)))) || (boq == -1 /* else */)))
			continue;

		reached[0][223] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;


		reached[0][223] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		sv_save();
		S_221_0: /* 2 */
S_219_0: /* 2 */
S_212_0: /* 2 */
		if (!((((int)now.alive[ Index(((int)now.r), 4) ])&&(((int)now.crashes)<1))))
			goto S_219_1;
S_213_0: /* 2 */
		now.crashes = (((int)now.crashes)+1);
#ifdef VAR_RANGES
		logval("crashes", ((int)now.crashes));
#endif
		;
S_214_0: /* 2 */
		now.term[ Index(now.r, 4) ] = ((int)now.diskTerm[ Index(((int)now.r), 4) ]);
#ifdef VAR_RANGES
		logval("term[r]", ((int)now.term[ Index(((int)now.r), 4) ]));
#endif
		;
S_215_0: /* 2 */
		now.vote[ Index(now.r, 4) ] = ((int)now.diskVote[ Index(((int)now.r), 4) ]);
#ifdef VAR_RANGES
		logval("vote[r]", ((int)now.vote[ Index(((int)now.r), 4) ]));
#endif
		;
S_216_0: /* 2 */
		now.length[ Index(now.r, 4) ] = ((int)now.diskLength[ Index(((int)now.r), 4) ]);
#ifdef VAR_RANGES
		logval("length[r]", ((int)now.length[ Index(((int)now.r), 4) ]));
#endif
		;
S_217_0: /* 2 */
		now.leads[ Index(now.r, 4) ] = 0;
#ifdef VAR_RANGES
		logval("leads[r]", ((int)now.leads[ Index(((int)now.r), 4) ]));
#endif
		;
		goto S_220_0;
S_219_1: /* 3 */
S_218_0: /* 2 */
		/* else */;
		goto S_220_0;
S_219_2: /* 3 */
		Uerror("blocking sel in d_step (nr.26, near line 303)");
S_220_0: /* 2 */
		goto S_357_0; /* '.' */
		goto S_357_0; /* ';' */
		goto S_357_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 13: // STATE 233 - agreement.pml:346 - [D_STEP346]
		if (!(((boq == -1 &&  !(((int)now.diskLost)))) || (boq == -1 /* else */)))
			continue;

		reached[0][233] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;


		reached[0][233] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		sv_save();
		S_231_0: /* 2 */
S_229_0: /* 2 */
S_223_0: /* 2 */
		if (!( !(((int)now.diskLost))))
			goto S_229_1;
S_224_0: /* 2 */
		now.diskLost = 1;
#ifdef VAR_RANGES
		logval("diskLost", ((int)now.diskLost));
#endif
		;
S_225_0: /* 2 */
		now.alive[2] = 0;
#ifdef VAR_RANGES
		logval("alive[2]", ((int)now.alive[2]));
#endif
		;
S_226_0: /* 2 */
		now.leads[2] = 0;
#ifdef VAR_RANGES
		logval("leads[2]", ((int)now.leads[2]));
#endif
		;
S_227_0: /* 2 */
		now.alive[3] = 1;
#ifdef VAR_RANGES
		logval("alive[3]", ((int)now.alive[3]));
#endif
		;
		goto S_230_0;
S_229_1: /* 3 */
S_228_0: /* 2 */
		/* else */;
		goto S_230_0;
S_229_2: /* 3 */
		Uerror("blocking sel in d_step (nr.27, near line 316)");
S_230_0: /* 2 */
		goto S_357_0; /* '.' */
		goto S_357_0; /* ';' */
		goto S_357_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 14: // STATE 234 - agreement.pml:195 - [(((alive[r]&&leads[r])&&(length[r]<3)))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][234] = 1;
		if (!(((((int)now.alive[ Index(((int)now.r), 4) ])&&((int)now.leads[ Index(((int)now.r), 4) ]))&&(((int)now.length[ Index(((int)now.r), 4) ])<3))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 15: // STATE 235 - agreement.pml:74 - [mask = 7] (0:0:1 - 1)
		IfNotBlocked
		reached[0][235] = 1;
		(trpt+1)->bup.oval = ((int)now.mask);
		now.mask = 7;
#ifdef VAR_RANGES
		logval("mask", ((int)now.mask));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 16: // STATE 236 - agreement.pml:76 - [((length[r]>0))] (248:0:1 - 1)
		IfNotBlocked
		reached[0][236] = 1;
		if (!((((int)now.length[ Index(((int)now.r), 4) ])>0)))
			continue;
		/* merge: mask = entryMembers[((r*3)+(length[r]-1))](0, 237, 248) */
		reached[0][237] = 1;
		(trpt+1)->bup.oval = ((int)now.mask);
		now.mask = ((int)now.entryMembers[ Index(((((int)now.r)*3)+(((int)now.length[ Index(((int)now.r), 4) ])-1)), 12) ]);
#ifdef VAR_RANGES
		logval("mask", ((int)now.mask));
#endif
		;
		/* merge: .(goto)(0, 240, 248) */
		reached[0][240] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 17: // STATE 243 - agreement.pml:198 - [(1)] (368:0:8 - 1)
		IfNotBlocked
		reached[0][243] = 1;
		if (!(1))
			continue;
		/* merge: .(goto)(368, 249, 368) */
		reached[0][249] = 1;
		;
		/* merge: entryTerm[((r*3)+length[r])] = term[r](368, 250, 368) */
		reached[0][250] = 1;
		(trpt+1)->bup.ovals = grab_ints(8);
		(trpt+1)->bup.ovals[0] = ((int)now.entryTerm[ Index(((((int)now.r)*3)+((int)now.length[ Index(((int)now.r), 4) ])), 12) ]);
		now.entryTerm[ Index(((now.r*3)+now.length[ Index(now.r, 4) ]), 12) ] = ((int)now.term[ Index(((int)now.r), 4) ]);
#ifdef VAR_RANGES
		logval("entryTerm[((r*3)+length[r])]", ((int)now.entryTerm[ Index(((((int)now.r)*3)+((int)now.length[ Index(((int)now.r), 4) ])), 12) ]));
#endif
		;
		/* merge: entryMembers[((r*3)+length[r])] = mask(368, 251, 368) */
		reached[0][251] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.entryMembers[ Index(((((int)now.r)*3)+((int)now.length[ Index(((int)now.r), 4) ])), 12) ]);
		now.entryMembers[ Index(((now.r*3)+now.length[ Index(now.r, 4) ]), 12) ] = ((int)now.mask);
#ifdef VAR_RANGES
		logval("entryMembers[((r*3)+length[r])]", ((int)now.entryMembers[ Index(((((int)now.r)*3)+((int)now.length[ Index(((int)now.r), 4) ])), 12) ]));
#endif
		;
		/* merge: leaderTerm[((term[r]*3)+length[r])] = term[r](368, 252, 368) */
		reached[0][252] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.leaderTerm[ Index(((((int)now.term[ Index(((int)now.r), 4) ])*3)+((int)now.length[ Index(((int)now.r), 4) ])), 12) ]);
		now.leaderTerm[ Index(((now.term[ Index(now.r, 4) ]*3)+now.length[ Index(now.r, 4) ]), 12) ] = ((int)now.term[ Index(((int)now.r), 4) ]);
#ifdef VAR_RANGES
		logval("leaderTerm[((term[r]*3)+length[r])]", ((int)now.leaderTerm[ Index(((((int)now.term[ Index(((int)now.r), 4) ])*3)+((int)now.length[ Index(((int)now.r), 4) ])), 12) ]));
#endif
		;
		/* merge: leaderMembers[((term[r]*3)+length[r])] = mask(368, 253, 368) */
		reached[0][253] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.leaderMembers[ Index(((((int)now.term[ Index(((int)now.r), 4) ])*3)+((int)now.length[ Index(((int)now.r), 4) ])), 12) ]);
		now.leaderMembers[ Index(((now.term[ Index(now.r, 4) ]*3)+now.length[ Index(now.r, 4) ]), 12) ] = ((int)now.mask);
#ifdef VAR_RANGES
		logval("leaderMembers[((term[r]*3)+length[r])]", ((int)now.leaderMembers[ Index(((((int)now.term[ Index(((int)now.r), 4) ])*3)+((int)now.length[ Index(((int)now.r), 4) ])), 12) ]));
#endif
		;
		/* merge: length[r] = (length[r]+1)(368, 254, 368) */
		reached[0][254] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.length[ Index(((int)now.r), 4) ]);
		now.length[ Index(now.r, 4) ] = (((int)now.length[ Index(((int)now.r), 4) ])+1);
#ifdef VAR_RANGES
		logval("length[r]", ((int)now.length[ Index(((int)now.r), 4) ]));
#endif
		;
		/* merge: diskLength[r] = length[r](368, 255, 368) */
		reached[0][255] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.diskLength[ Index(((int)now.r), 4) ]);
		now.diskLength[ Index(now.r, 4) ] = ((int)now.length[ Index(((int)now.r), 4) ]);
#ifdef VAR_RANGES
		logval("diskLength[r]", ((int)now.diskLength[ Index(((int)now.r), 4) ]));
#endif
		;
		/* merge: leaderLength[term[r]] = length[r](368, 256, 368) */
		reached[0][256] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.leaderLength[ Index(((int)now.term[ Index(((int)now.r), 4) ]), 4) ]);
		now.leaderLength[ Index(now.term[ Index(now.r, 4) ], 4) ] = ((int)now.length[ Index(((int)now.r), 4) ]);
#ifdef VAR_RANGES
		logval("leaderLength[term[r]]", ((int)now.leaderLength[ Index(((int)now.term[ Index(((int)now.r), 4) ]), 4) ]));
#endif
		;
		/* merge: acked[((term[r]*4)+r)] = length[r](368, 257, 368) */
		reached[0][257] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.acked[ Index(((((int)now.term[ Index(((int)now.r), 4) ])*4)+((int)now.r)), 16) ]);
		now.acked[ Index(((now.term[ Index(now.r, 4) ]*4)+now.r), 16) ] = ((int)now.length[ Index(((int)now.r), 4) ]);
#ifdef VAR_RANGES
		logval("acked[((term[r]*4)+r)]", ((int)now.acked[ Index(((((int)now.term[ Index(((int)now.r), 4) ])*4)+((int)now.r)), 16) ]));
#endif
		;
		/* merge: .(goto)(368, 260, 368) */
		reached[0][260] = 1;
		;
		/* merge: .(goto)(368, 358, 368) */
		reached[0][358] = 1;
		;
		_m = 3; goto P999; /* 11 */
	case 18: // STATE 244 - agreement.pml:202 - [(((diskLost&&(mask==7))&&(leaderCommit[term[r]]==length[r])))] (368:0:9 - 1)
		IfNotBlocked
		reached[0][244] = 1;
		if (!(((((int)now.diskLost)&&(((int)now.mask)==7))&&(((int)now.leaderCommit[ Index(((int)now.term[ Index(((int)now.r), 4) ]), 4) ])==((int)now.length[ Index(((int)now.r), 4) ])))))
			continue;
		/* merge: mask = 3(368, 245, 368) */
		reached[0][245] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.mask);
		now.mask = 3;
#ifdef VAR_RANGES
		logval("mask", ((int)now.mask));
#endif
		;
		/* merge: .(goto)(368, 249, 368) */
		reached[0][249] = 1;
		;
		/* merge: entryTerm[((r*3)+length[r])] = term[r](368, 250, 368) */
		reached[0][250] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.entryTerm[ Index(((((int)now.r)*3)+((int)now.length[ Index(((int)now.r), 4) ])), 12) ]);
		now.entryTerm[ Index(((now.r*3)+now.length[ Index(now.r, 4) ]), 12) ] = ((int)now.term[ Index(((int)now.r), 4) ]);
#ifdef VAR_RANGES
		logval("entryTerm[((r*3)+length[r])]", ((int)now.entryTerm[ Index(((((int)now.r)*3)+((int)now.length[ Index(((int)now.r), 4) ])), 12) ]));
#endif
		;
		/* merge: entryMembers[((r*3)+length[r])] = mask(368, 251, 368) */
		reached[0][251] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.entryMembers[ Index(((((int)now.r)*3)+((int)now.length[ Index(((int)now.r), 4) ])), 12) ]);
		now.entryMembers[ Index(((now.r*3)+now.length[ Index(now.r, 4) ]), 12) ] = ((int)now.mask);
#ifdef VAR_RANGES
		logval("entryMembers[((r*3)+length[r])]", ((int)now.entryMembers[ Index(((((int)now.r)*3)+((int)now.length[ Index(((int)now.r), 4) ])), 12) ]));
#endif
		;
		/* merge: leaderTerm[((term[r]*3)+length[r])] = term[r](368, 252, 368) */
		reached[0][252] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.leaderTerm[ Index(((((int)now.term[ Index(((int)now.r), 4) ])*3)+((int)now.length[ Index(((int)now.r), 4) ])), 12) ]);
		now.leaderTerm[ Index(((now.term[ Index(now.r, 4) ]*3)+now.length[ Index(now.r, 4) ]), 12) ] = ((int)now.term[ Index(((int)now.r), 4) ]);
#ifdef VAR_RANGES
		logval("leaderTerm[((term[r]*3)+length[r])]", ((int)now.leaderTerm[ Index(((((int)now.term[ Index(((int)now.r), 4) ])*3)+((int)now.length[ Index(((int)now.r), 4) ])), 12) ]));
#endif
		;
		/* merge: leaderMembers[((term[r]*3)+length[r])] = mask(368, 253, 368) */
		reached[0][253] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.leaderMembers[ Index(((((int)now.term[ Index(((int)now.r), 4) ])*3)+((int)now.length[ Index(((int)now.r), 4) ])), 12) ]);
		now.leaderMembers[ Index(((now.term[ Index(now.r, 4) ]*3)+now.length[ Index(now.r, 4) ]), 12) ] = ((int)now.mask);
#ifdef VAR_RANGES
		logval("leaderMembers[((term[r]*3)+length[r])]", ((int)now.leaderMembers[ Index(((((int)now.term[ Index(((int)now.r), 4) ])*3)+((int)now.length[ Index(((int)now.r), 4) ])), 12) ]));
#endif
		;
		/* merge: length[r] = (length[r]+1)(368, 254, 368) */
		reached[0][254] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.length[ Index(((int)now.r), 4) ]);
		now.length[ Index(now.r, 4) ] = (((int)now.length[ Index(((int)now.r), 4) ])+1);
#ifdef VAR_RANGES
		logval("length[r]", ((int)now.length[ Index(((int)now.r), 4) ]));
#endif
		;
		/* merge: diskLength[r] = length[r](368, 255, 368) */
		reached[0][255] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.diskLength[ Index(((int)now.r), 4) ]);
		now.diskLength[ Index(now.r, 4) ] = ((int)now.length[ Index(((int)now.r), 4) ]);
#ifdef VAR_RANGES
		logval("diskLength[r]", ((int)now.diskLength[ Index(((int)now.r), 4) ]));
#endif
		;
		/* merge: leaderLength[term[r]] = length[r](368, 256, 368) */
		reached[0][256] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.leaderLength[ Index(((int)now.term[ Index(((int)now.r), 4) ]), 4) ]);
		now.leaderLength[ Index(now.term[ Index(now.r, 4) ], 4) ] = ((int)now.length[ Index(((int)now.r), 4) ]);
#ifdef VAR_RANGES
		logval("leaderLength[term[r]]", ((int)now.leaderLength[ Index(((int)now.term[ Index(((int)now.r), 4) ]), 4) ]));
#endif
		;
		/* merge: acked[((term[r]*4)+r)] = length[r](368, 257, 368) */
		reached[0][257] = 1;
		(trpt+1)->bup.ovals[8] = ((int)now.acked[ Index(((((int)now.term[ Index(((int)now.r), 4) ])*4)+((int)now.r)), 16) ]);
		now.acked[ Index(((now.term[ Index(now.r, 4) ]*4)+now.r), 16) ] = ((int)now.length[ Index(((int)now.r), 4) ]);
#ifdef VAR_RANGES
		logval("acked[((term[r]*4)+r)]", ((int)now.acked[ Index(((((int)now.term[ Index(((int)now.r), 4) ])*4)+((int)now.r)), 16) ]));
#endif
		;
		/* merge: .(goto)(368, 260, 368) */
		reached[0][260] = 1;
		;
		/* merge: .(goto)(368, 358, 368) */
		reached[0][358] = 1;
		;
		_m = 3; goto P999; /* 12 */
	case 19: // STATE 246 - agreement.pml:204 - [((((diskLost&&(mask==3))&&(leaderCommit[term[r]]==length[r]))&&(acked[((term[r]*4)+3)]==length[r])))] (368:0:9 - 1)
		IfNotBlocked
		reached[0][246] = 1;
		if (!((((((int)now.diskLost)&&(((int)now.mask)==3))&&(((int)now.leaderCommit[ Index(((int)now.term[ Index(((int)now.r), 4) ]), 4) ])==((int)now.length[ Index(((int)now.r), 4) ])))&&(((int)now.acked[ Index(((((int)now.term[ Index(((int)now.r), 4) ])*4)+3), 16) ])==((int)now.length[ Index(((int)now.r), 4) ])))))
			continue;
		/* merge: mask = 11(368, 247, 368) */
		reached[0][247] = 1;
		(trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((int)now.mask);
		now.mask = 11;
#ifdef VAR_RANGES
		logval("mask", ((int)now.mask));
#endif
		;
		/* merge: .(goto)(368, 249, 368) */
		reached[0][249] = 1;
		;
		/* merge: entryTerm[((r*3)+length[r])] = term[r](368, 250, 368) */
		reached[0][250] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.entryTerm[ Index(((((int)now.r)*3)+((int)now.length[ Index(((int)now.r), 4) ])), 12) ]);
		now.entryTerm[ Index(((now.r*3)+now.length[ Index(now.r, 4) ]), 12) ] = ((int)now.term[ Index(((int)now.r), 4) ]);
#ifdef VAR_RANGES
		logval("entryTerm[((r*3)+length[r])]", ((int)now.entryTerm[ Index(((((int)now.r)*3)+((int)now.length[ Index(((int)now.r), 4) ])), 12) ]));
#endif
		;
		/* merge: entryMembers[((r*3)+length[r])] = mask(368, 251, 368) */
		reached[0][251] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.entryMembers[ Index(((((int)now.r)*3)+((int)now.length[ Index(((int)now.r), 4) ])), 12) ]);
		now.entryMembers[ Index(((now.r*3)+now.length[ Index(now.r, 4) ]), 12) ] = ((int)now.mask);
#ifdef VAR_RANGES
		logval("entryMembers[((r*3)+length[r])]", ((int)now.entryMembers[ Index(((((int)now.r)*3)+((int)now.length[ Index(((int)now.r), 4) ])), 12) ]));
#endif
		;
		/* merge: leaderTerm[((term[r]*3)+length[r])] = term[r](368, 252, 368) */
		reached[0][252] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.leaderTerm[ Index(((((int)now.term[ Index(((int)now.r), 4) ])*3)+((int)now.length[ Index(((int)now.r), 4) ])), 12) ]);
		now.leaderTerm[ Index(((now.term[ Index(now.r, 4) ]*3)+now.length[ Index(now.r, 4) ]), 12) ] = ((int)now.term[ Index(((int)now.r), 4) ]);
#ifdef VAR_RANGES
		logval("leaderTerm[((term[r]*3)+length[r])]", ((int)now.leaderTerm[ Index(((((int)now.term[ Index(((int)now.r), 4) ])*3)+((int)now.length[ Index(((int)now.r), 4) ])), 12) ]));
#endif
		;
		/* merge: leaderMembers[((term[r]*3)+length[r])] = mask(368, 253, 368) */
		reached[0][253] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.leaderMembers[ Index(((((int)now.term[ Index(((int)now.r), 4) ])*3)+((int)now.length[ Index(((int)now.r), 4) ])), 12) ]);
		now.leaderMembers[ Index(((now.term[ Index(now.r, 4) ]*3)+now.length[ Index(now.r, 4) ]), 12) ] = ((int)now.mask);
#ifdef VAR_RANGES
		logval("leaderMembers[((term[r]*3)+length[r])]", ((int)now.leaderMembers[ Index(((((int)now.term[ Index(((int)now.r), 4) ])*3)+((int)now.length[ Index(((int)now.r), 4) ])), 12) ]));
#endif
		;
		/* merge: length[r] = (length[r]+1)(368, 254, 368) */
		reached[0][254] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.length[ Index(((int)now.r), 4) ]);
		now.length[ Index(now.r, 4) ] = (((int)now.length[ Index(((int)now.r), 4) ])+1);
#ifdef VAR_RANGES
		logval("length[r]", ((int)now.length[ Index(((int)now.r), 4) ]));
#endif
		;
		/* merge: diskLength[r] = length[r](368, 255, 368) */
		reached[0][255] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.diskLength[ Index(((int)now.r), 4) ]);
		now.diskLength[ Index(now.r, 4) ] = ((int)now.length[ Index(((int)now.r), 4) ]);
#ifdef VAR_RANGES
		logval("diskLength[r]", ((int)now.diskLength[ Index(((int)now.r), 4) ]));
#endif
		;
		/* merge: leaderLength[term[r]] = length[r](368, 256, 368) */
		reached[0][256] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.leaderLength[ Index(((int)now.term[ Index(((int)now.r), 4) ]), 4) ]);
		now.leaderLength[ Index(now.term[ Index(now.r, 4) ], 4) ] = ((int)now.length[ Index(((int)now.r), 4) ]);
#ifdef VAR_RANGES
		logval("leaderLength[term[r]]", ((int)now.leaderLength[ Index(((int)now.term[ Index(((int)now.r), 4) ]), 4) ]));
#endif
		;
		/* merge: acked[((term[r]*4)+r)] = length[r](368, 257, 368) */
		reached[0][257] = 1;
		(trpt+1)->bup.ovals[8] = ((int)now.acked[ Index(((((int)now.term[ Index(((int)now.r), 4) ])*4)+((int)now.r)), 16) ]);
		now.acked[ Index(((now.term[ Index(now.r, 4) ]*4)+now.r), 16) ] = ((int)now.length[ Index(((int)now.r), 4) ]);
#ifdef VAR_RANGES
		logval("acked[((term[r]*4)+r)]", ((int)now.acked[ Index(((((int)now.term[ Index(((int)now.r), 4) ])*4)+((int)now.r)), 16) ]));
#endif
		;
		/* merge: .(goto)(368, 260, 368) */
		reached[0][260] = 1;
		;
		/* merge: .(goto)(368, 358, 368) */
		reached[0][358] = 1;
		;
		_m = 3; goto P999; /* 12 */
	case 20: // STATE 250 - agreement.pml:207 - [entryTerm[((r*3)+length[r])] = term[r]] (0:368:8 - 4)
		IfNotBlocked
		reached[0][250] = 1;
		(trpt+1)->bup.ovals = grab_ints(8);
		(trpt+1)->bup.ovals[0] = ((int)now.entryTerm[ Index(((((int)now.r)*3)+((int)now.length[ Index(((int)now.r), 4) ])), 12) ]);
		now.entryTerm[ Index(((now.r*3)+now.length[ Index(now.r, 4) ]), 12) ] = ((int)now.term[ Index(((int)now.r), 4) ]);
#ifdef VAR_RANGES
		logval("entryTerm[((r*3)+length[r])]", ((int)now.entryTerm[ Index(((((int)now.r)*3)+((int)now.length[ Index(((int)now.r), 4) ])), 12) ]));
#endif
		;
		/* merge: entryMembers[((r*3)+length[r])] = mask(368, 251, 368) */
		reached[0][251] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.entryMembers[ Index(((((int)now.r)*3)+((int)now.length[ Index(((int)now.r), 4) ])), 12) ]);
		now.entryMembers[ Index(((now.r*3)+now.length[ Index(now.r, 4) ]), 12) ] = ((int)now.mask);
#ifdef VAR_RANGES
		logval("entryMembers[((r*3)+length[r])]", ((int)now.entryMembers[ Index(((((int)now.r)*3)+((int)now.length[ Index(((int)now.r), 4) ])), 12) ]));
#endif
		;
		/* merge: leaderTerm[((term[r]*3)+length[r])] = term[r](368, 252, 368) */
		reached[0][252] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.leaderTerm[ Index(((((int)now.term[ Index(((int)now.r), 4) ])*3)+((int)now.length[ Index(((int)now.r), 4) ])), 12) ]);
		now.leaderTerm[ Index(((now.term[ Index(now.r, 4) ]*3)+now.length[ Index(now.r, 4) ]), 12) ] = ((int)now.term[ Index(((int)now.r), 4) ]);
#ifdef VAR_RANGES
		logval("leaderTerm[((term[r]*3)+length[r])]", ((int)now.leaderTerm[ Index(((((int)now.term[ Index(((int)now.r), 4) ])*3)+((int)now.length[ Index(((int)now.r), 4) ])), 12) ]));
#endif
		;
		/* merge: leaderMembers[((term[r]*3)+length[r])] = mask(368, 253, 368) */
		reached[0][253] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.leaderMembers[ Index(((((int)now.term[ Index(((int)now.r), 4) ])*3)+((int)now.length[ Index(((int)now.r), 4) ])), 12) ]);
		now.leaderMembers[ Index(((now.term[ Index(now.r, 4) ]*3)+now.length[ Index(now.r, 4) ]), 12) ] = ((int)now.mask);
#ifdef VAR_RANGES
		logval("leaderMembers[((term[r]*3)+length[r])]", ((int)now.leaderMembers[ Index(((((int)now.term[ Index(((int)now.r), 4) ])*3)+((int)now.length[ Index(((int)now.r), 4) ])), 12) ]));
#endif
		;
		/* merge: length[r] = (length[r]+1)(368, 254, 368) */
		reached[0][254] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.length[ Index(((int)now.r), 4) ]);
		now.length[ Index(now.r, 4) ] = (((int)now.length[ Index(((int)now.r), 4) ])+1);
#ifdef VAR_RANGES
		logval("length[r]", ((int)now.length[ Index(((int)now.r), 4) ]));
#endif
		;
		/* merge: diskLength[r] = length[r](368, 255, 368) */
		reached[0][255] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.diskLength[ Index(((int)now.r), 4) ]);
		now.diskLength[ Index(now.r, 4) ] = ((int)now.length[ Index(((int)now.r), 4) ]);
#ifdef VAR_RANGES
		logval("diskLength[r]", ((int)now.diskLength[ Index(((int)now.r), 4) ]));
#endif
		;
		/* merge: leaderLength[term[r]] = length[r](368, 256, 368) */
		reached[0][256] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.leaderLength[ Index(((int)now.term[ Index(((int)now.r), 4) ]), 4) ]);
		now.leaderLength[ Index(now.term[ Index(now.r, 4) ], 4) ] = ((int)now.length[ Index(((int)now.r), 4) ]);
#ifdef VAR_RANGES
		logval("leaderLength[term[r]]", ((int)now.leaderLength[ Index(((int)now.term[ Index(((int)now.r), 4) ]), 4) ]));
#endif
		;
		/* merge: acked[((term[r]*4)+r)] = length[r](368, 257, 368) */
		reached[0][257] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.acked[ Index(((((int)now.term[ Index(((int)now.r), 4) ])*4)+((int)now.r)), 16) ]);
		now.acked[ Index(((now.term[ Index(now.r, 4) ]*4)+now.r), 16) ] = ((int)now.length[ Index(((int)now.r), 4) ]);
#ifdef VAR_RANGES
		logval("acked[((term[r]*4)+r)]", ((int)now.acked[ Index(((((int)now.term[ Index(((int)now.r), 4) ])*4)+((int)now.r)), 16) ]));
#endif
		;
		/* merge: .(goto)(368, 260, 368) */
		reached[0][260] = 1;
		;
		/* merge: .(goto)(368, 358, 368) */
		reached[0][358] = 1;
		;
		_m = 3; goto P999; /* 9 */
	case 21: // STATE 262 - agreement.pml:348 - [c = 0] (0:0:1 - 1)
		IfNotBlocked
		reached[0][262] = 1;
		(trpt+1)->bup.oval = ((int)now.c);
		now.c = 0;
#ifdef VAR_RANGES
		logval("c", ((int)now.c));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 22: // STATE 263 - agreement.pml:348 - [c = 1] (0:0:1 - 1)
		IfNotBlocked
		reached[0][263] = 1;
		(trpt+1)->bup.oval = ((int)now.c);
		now.c = 1;
#ifdef VAR_RANGES
		logval("c", ((int)now.c));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 23: // STATE 264 - agreement.pml:348 - [c = 2] (0:0:1 - 1)
		IfNotBlocked
		reached[0][264] = 1;
		(trpt+1)->bup.oval = ((int)now.c);
		now.c = 2;
#ifdef VAR_RANGES
		logval("c", ((int)now.c));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 24: // STATE 265 - agreement.pml:348 - [c = 3] (0:0:1 - 1)
		IfNotBlocked
		reached[0][265] = 1;
		(trpt+1)->bup.oval = ((int)now.c);
		now.c = 3;
#ifdef VAR_RANGES
		logval("c", ((int)now.c));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 25: // STATE 268 - agreement.pml:349 - [t = 1] (0:0:1 - 1)
		IfNotBlocked
		reached[0][268] = 1;
		(trpt+1)->bup.oval = ((int)now.t);
		now.t = 1;
#ifdef VAR_RANGES
		logval("t", ((int)now.t));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 26: // STATE 269 - agreement.pml:349 - [t = 2] (0:0:1 - 1)
		IfNotBlocked
		reached[0][269] = 1;
		(trpt+1)->bup.oval = ((int)now.t);
		now.t = 2;
#ifdef VAR_RANGES
		logval("t", ((int)now.t));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 27: // STATE 270 - agreement.pml:349 - [t = 3] (0:0:1 - 1)
		IfNotBlocked
		reached[0][270] = 1;
		(trpt+1)->bup.oval = ((int)now.t);
		now.t = 3;
#ifdef VAR_RANGES
		logval("t", ((int)now.t));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 28: // STATE 304 - agreement.pml:350 - [D_STEP350]
		if (!(((boq == -1 && (((((int)now.alive[ Index(((int)now.r), 4) ])&&((int)now.asked[ Index(((((int)now.t)*4)+((int)now.c)), 16) ]))&&(((int)now.r)!=((int)now.c)))&&(((int)now.t)>=((int)now.term[ Index(((int)now.r), 4) ]))))) || (boq == -1 /* else */)))
			continue;

		reached[0][304] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;


		reached[0][304] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		sv_save();
		S_302_0: /* 2 */
S_300_0: /* 2 */
S_272_0: /* 2 */
		if (!((((((int)now.alive[ Index(((int)now.r), 4) ])&&((int)now.asked[ Index(((((int)now.t)*4)+((int)now.c)), 16) ]))&&(((int)now.r)!=((int)now.c)))&&(((int)now.t)>=((int)now.term[ Index(((int)now.r), 4) ])))))
			goto S_300_1;
S_281_0: /* 2 */
S_273_0: /* 2 */
		if (!((((int)now.t)>((int)now.term[ Index(((int)now.r), 4) ]))))
			goto S_281_1;
S_279_0: /* 2 */
S_274_0: /* 2 */
		now.term[ Index(now.r, 4) ] = ((int)now.t);
#ifdef VAR_RANGES
		logval("term[r]", ((int)now.term[ Index(((int)now.r), 4) ]));
#endif
		;
S_275_0: /* 2 */
		now.vote[ Index(now.r, 4) ] = 7;
#ifdef VAR_RANGES
		logval("vote[r]", ((int)now.vote[ Index(((int)now.r), 4) ]));
#endif
		;
S_276_0: /* 2 */
		now.leads[ Index(now.r, 4) ] = 0;
#ifdef VAR_RANGES
		logval("leads[r]", ((int)now.leads[ Index(((int)now.r), 4) ]));
#endif
		;
S_277_0: /* 2 */
		now.diskTerm[ Index(now.r, 4) ] = ((int)now.t);
#ifdef VAR_RANGES
		logval("diskTerm[r]", ((int)now.diskTerm[ Index(((int)now.r), 4) ]));
#endif
		;
S_278_0: /* 2 */
		now.diskVote[ Index(now.r, 4) ] = 7;
#ifdef VAR_RANGES
		logval("diskVote[r]", ((int)now.diskVote[ Index(((int)now.r), 4) ]));
#endif
		;
		goto S_282_0;
S_281_1: /* 3 */
S_280_0: /* 2 */
		/* else */;
		goto S_282_0;
S_281_2: /* 3 */
		Uerror("blocking sel in d_step (nr.28, near line 142)");
S_282_0: /* 2 */
S_283_0: /* 2 */
		now.i = 0;
#ifdef VAR_RANGES
		logval("i", ((int)now.i));
#endif
		;
S_287_0: /* 2 */
S_284_0: /* 2 */
		if (!((((int)now.length[ Index(((int)now.r), 4) ])>0)))
			goto S_287_1;
S_285_0: /* 2 */
		now.i = ((int)now.entryTerm[ Index(((((int)now.r)*3)+(((int)now.length[ Index(((int)now.r), 4) ])-1)), 12) ]);
#ifdef VAR_RANGES
		logval("i", ((int)now.i));
#endif
		;
		goto S_288_0;
S_287_1: /* 3 */
S_286_0: /* 2 */
		/* else */;
		goto S_288_0;
S_287_2: /* 3 */
		Uerror("blocking sel in d_step (nr.29, near line 144)");
S_288_0: /* 2 */
S_289_0: /* 2 */
		now.allowed = (((((int)now.vote[ Index(((int)now.r), 4) ])==7)||(((int)now.vote[ Index(((int)now.r), 4) ])==((int)now.c)))&&((((int)now.askedTerm[ Index(((((int)now.t)*4)+((int)now.c)), 16) ])>((int)now.i))||((((int)now.askedTerm[ Index(((((int)now.t)*4)+((int)now.c)), 16) ])==((int)now.i))&&(((int)now.askedLength[ Index(((((int)now.t)*4)+((int)now.c)), 16) ])>=((int)now.length[ Index(((int)now.r), 4) ])))));
#ifdef VAR_RANGES
		logval("allowed", ((int)now.allowed));
#endif
		;
S_297_0: /* 2 */
S_290_0: /* 2 */
		if (!(((int)now.allowed)))
			goto S_297_1;
S_291_0: /* 2 */
		now.vote[ Index(now.r, 4) ] = ((int)now.c);
#ifdef VAR_RANGES
		logval("vote[r]", ((int)now.vote[ Index(((int)now.r), 4) ]));
#endif
		;
S_294_0: /* 2 */
S_292_0: /* 2 */
		now.diskTerm[ Index(now.r, 4) ] = ((int)now.term[ Index(((int)now.r), 4) ]);
#ifdef VAR_RANGES
		logval("diskTerm[r]", ((int)now.diskTerm[ Index(((int)now.r), 4) ]));
#endif
		;
S_293_0: /* 2 */
		now.diskVote[ Index(now.r, 4) ] = ((int)now.vote[ Index(((int)now.r), 4) ]);
#ifdef VAR_RANGES
		logval("diskVote[r]", ((int)now.diskVote[ Index(((int)now.r), 4) ]));
#endif
		;
		goto S_295_0;
S_295_0: /* 2 */
		now.granted[ Index(((now.t*4)+now.c), 16) ] = (((int)now.granted[ Index(((((int)now.t)*4)+((int)now.c)), 16) ])|(1<<((int)now.r)));
#ifdef VAR_RANGES
		logval("granted[((t*4)+c)]", ((int)now.granted[ Index(((((int)now.t)*4)+((int)now.c)), 16) ]));
#endif
		;
		goto S_298_0;
S_297_1: /* 3 */
S_296_0: /* 2 */
		/* else */;
		goto S_298_0;
S_297_2: /* 3 */
		Uerror("blocking sel in d_step (nr.30, near line 149)");
S_298_0: /* 2 */
		goto S_301_0;
S_300_1: /* 3 */
S_299_0: /* 2 */
		/* else */;
		goto S_301_0;
S_300_2: /* 3 */
		Uerror("blocking sel in d_step (nr.31, near line 140)");
S_301_0: /* 2 */
		goto S_357_0; /* '.' */
		goto S_357_0; /* ';' */
		goto S_357_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 29: // STATE 305 - agreement.pml:351 - [t = 1] (0:0:1 - 1)
		IfNotBlocked
		reached[0][305] = 1;
		(trpt+1)->bup.oval = ((int)now.t);
		now.t = 1;
#ifdef VAR_RANGES
		logval("t", ((int)now.t));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 30: // STATE 306 - agreement.pml:351 - [t = 2] (0:0:1 - 1)
		IfNotBlocked
		reached[0][306] = 1;
		(trpt+1)->bup.oval = ((int)now.t);
		now.t = 2;
#ifdef VAR_RANGES
		logval("t", ((int)now.t));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 31: // STATE 307 - agreement.pml:351 - [t = 3] (0:0:1 - 1)
		IfNotBlocked
		reached[0][307] = 1;
		(trpt+1)->bup.oval = ((int)now.t);
		now.t = 3;
#ifdef VAR_RANGES
		logval("t", ((int)now.t));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 32: // STATE 310 - agreement.pml:352 - [x = 0] (0:0:1 - 1)
		IfNotBlocked
		reached[0][310] = 1;
		(trpt+1)->bup.oval = ((int)now.x);
		now.x = 0;
#ifdef VAR_RANGES
		logval("x", ((int)now.x));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 33: // STATE 311 - agreement.pml:352 - [x = 1] (0:0:1 - 1)
		IfNotBlocked
		reached[0][311] = 1;
		(trpt+1)->bup.oval = ((int)now.x);
		now.x = 1;
#ifdef VAR_RANGES
		logval("x", ((int)now.x));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 34: // STATE 312 - agreement.pml:352 - [x = (3-1)] (0:0:1 - 1)
		IfNotBlocked
		reached[0][312] = 1;
		(trpt+1)->bup.oval = ((int)now.x);
		now.x = (3-1);
#ifdef VAR_RANGES
		logval("x", ((int)now.x));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 35: // STATE 356 - agreement.pml:353 - [D_STEP353]
		IfNotBlocked

		reached[0][356] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_314_0: /* 2 */
		now.count = ((int)now.x);
#ifdef VAR_RANGES
		logval("count", ((int)now.count));
#endif
		;
S_354_0: /* 2 */
S_352_0: /* 2 */
S_315_0: /* 2 */
		if (!(((((((int)now.alive[ Index(((int)now.r), 4) ])&&(((int)now.leaderOf[ Index(((int)now.t), 4) ])!=7))&&(((int)now.leaderOf[ Index(((int)now.t), 4) ])!=((int)now.r)))&&(((int)now.count)<((int)now.leaderLength[ Index(((int)now.t), 4) ])))&&(((int)now.t)>=((int)now.term[ Index(((int)now.r), 4) ])))))
			goto S_352_1;
S_324_0: /* 2 */
S_316_0: /* 2 */
		if (!((((int)now.t)>((int)now.term[ Index(((int)now.r), 4) ]))))
			goto S_324_1;
S_322_0: /* 2 */
S_317_0: /* 2 */
		now.term[ Index(now.r, 4) ] = ((int)now.t);
#ifdef VAR_RANGES
		logval("term[r]", ((int)now.term[ Index(((int)now.r), 4) ]));
#endif
		;
S_318_0: /* 2 */
		now.vote[ Index(now.r, 4) ] = 7;
#ifdef VAR_RANGES
		logval("vote[r]", ((int)now.vote[ Index(((int)now.r), 4) ]));
#endif
		;
S_319_0: /* 2 */
		now.leads[ Index(now.r, 4) ] = 0;
#ifdef VAR_RANGES
		logval("leads[r]", ((int)now.leads[ Index(((int)now.r), 4) ]));
#endif
		;
S_320_0: /* 2 */
		now.diskTerm[ Index(now.r, 4) ] = ((int)now.t);
#ifdef VAR_RANGES
		logval("diskTerm[r]", ((int)now.diskTerm[ Index(((int)now.r), 4) ]));
#endif
		;
S_321_0: /* 2 */
		now.diskVote[ Index(now.r, 4) ] = 7;
#ifdef VAR_RANGES
		logval("diskVote[r]", ((int)now.diskVote[ Index(((int)now.r), 4) ]));
#endif
		;
		goto S_325_0;
S_324_1: /* 3 */
S_323_0: /* 2 */
		/* else */;
		goto S_325_0;
S_324_2: /* 3 */
		Uerror("blocking sel in d_step (nr.32, near line 224)");
S_325_0: /* 2 */
S_326_0: /* 2 */
		now.leads[ Index(now.r, 4) ] = 0;
#ifdef VAR_RANGES
		logval("leads[r]", ((int)now.leads[ Index(((int)now.r), 4) ]));
#endif
		;
S_327_0: /* 2 */
		now.allowed = (((int)now.count)==0);
#ifdef VAR_RANGES
		logval("allowed", ((int)now.allowed));
#endif
		;
S_331_0: /* 2 */
S_328_0: /* 2 */
		if (!(((((int)now.count)>0)&&(((int)now.length[ Index(((int)now.r), 4) ])>=((int)now.count)))))
			goto S_331_1;
S_329_0: /* 2 */
		now.allowed = (((int)now.entryTerm[ Index(((((int)now.r)*3)+(((int)now.count)-1)), 12) ])==((int)now.leaderTerm[ Index(((((int)now.t)*3)+(((int)now.count)-1)), 12) ]));
#ifdef VAR_RANGES
		logval("allowed", ((int)now.allowed));
#endif
		;
		goto S_332_0;
S_331_1: /* 3 */
S_330_0: /* 2 */
		/* else */;
		goto S_332_0;
S_331_2: /* 3 */
		Uerror("blocking sel in d_step (nr.33, near line 227)");
S_332_0: /* 2 */
S_349_0: /* 2 */
S_333_0: /* 2 */
		if (!(((int)now.allowed)))
			goto S_349_1;
S_341_0: /* 2 */
S_334_0: /* 2 */
		if (!(((((int)now.length[ Index(((int)now.r), 4) ])>((int)now.count))&&(((int)now.entryTerm[ Index(((((int)now.r)*3)+((int)now.count)), 12) ])==((int)now.leaderTerm[ Index(((((int)now.t)*3)+((int)now.count)), 12) ])))))
			goto S_341_1;
S_335_0: /* 2 */
		if (!(1))
			Uerror("block in d_step seq");
		goto S_342_0;
S_341_1: /* 3 */
S_336_0: /* 2 */
		/* else */;
S_337_0: /* 2 */
		now.entryTerm[ Index(((now.r*3)+now.count), 12) ] = ((int)now.leaderTerm[ Index(((((int)now.t)*3)+((int)now.count)), 12) ]);
#ifdef VAR_RANGES
		logval("entryTerm[((r*3)+count)]", ((int)now.entryTerm[ Index(((((int)now.r)*3)+((int)now.count)), 12) ]));
#endif
		;
S_338_0: /* 2 */
		now.entryMembers[ Index(((now.r*3)+now.count), 12) ] = ((int)now.leaderMembers[ Index(((((int)now.t)*3)+((int)now.count)), 12) ]);
#ifdef VAR_RANGES
		logval("entryMembers[((r*3)+count)]", ((int)now.entryMembers[ Index(((((int)now.r)*3)+((int)now.count)), 12) ]));
#endif
		;
S_339_0: /* 2 */
		now.length[ Index(now.r, 4) ] = (((int)now.count)+1);
#ifdef VAR_RANGES
		logval("length[r]", ((int)now.length[ Index(((int)now.r), 4) ]));
#endif
		;
S_340_0: /* 2 */
		now.diskLength[ Index(now.r, 4) ] = ((int)now.length[ Index(((int)now.r), 4) ]);
#ifdef VAR_RANGES
		logval("diskLength[r]", ((int)now.diskLength[ Index(((int)now.r), 4) ]));
#endif
		;
		goto S_342_0;
S_341_2: /* 3 */
		Uerror("blocking sel in d_step (nr.34, near line 234)");
S_342_0: /* 2 */
S_346_0: /* 2 */
S_343_0: /* 2 */
		if (!((((int)now.acked[ Index(((((int)now.t)*4)+((int)now.r)), 16) ])<(((int)now.count)+1))))
			goto S_346_1;
S_344_0: /* 2 */
		now.acked[ Index(((now.t*4)+now.r), 16) ] = (((int)now.count)+1);
#ifdef VAR_RANGES
		logval("acked[((t*4)+r)]", ((int)now.acked[ Index(((((int)now.t)*4)+((int)now.r)), 16) ]));
#endif
		;
		goto S_347_0;
S_346_1: /* 3 */
S_345_0: /* 2 */
		/* else */;
		goto S_347_0;
S_346_2: /* 3 */
		Uerror("blocking sel in d_step (nr.35, near line 246)");
S_347_0: /* 2 */
		goto S_350_0;
S_349_1: /* 3 */
S_348_0: /* 2 */
		/* else */;
		goto S_350_0;
S_349_2: /* 3 */
		Uerror("blocking sel in d_step (nr.36, near line 232)");
S_350_0: /* 2 */
		goto S_353_0;
S_352_1: /* 3 */
S_351_0: /* 2 */
		/* else */;
		goto S_353_0;
S_352_2: /* 3 */
		Uerror("blocking sel in d_step (nr.37, near line 221)");
S_353_0: /* 2 */
		goto S_357_0; /* '.' */
		goto S_357_0; /* ';' */
		goto S_357_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 36: // STATE 368 - agreement.pml:356 - [D_STEP356]
		IfNotBlocked

		reached[0][368] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_358_0: /* 2 */
		now.r = 0;
#ifdef VAR_RANGES
		logval("r", ((int)now.r));
#endif
		;
S_359_0: /* 2 */
		now.c = 0;
#ifdef VAR_RANGES
		logval("c", ((int)now.c));
#endif
		;
S_360_0: /* 2 */
		now.i = 0;
#ifdef VAR_RANGES
		logval("i", ((int)now.i));
#endif
		;
S_361_0: /* 2 */
		now.t = 0;
#ifdef VAR_RANGES
		logval("t", ((int)now.t));
#endif
		;
S_362_0: /* 2 */
		now.x = 0;
#ifdef VAR_RANGES
		logval("x", ((int)now.x));
#endif
		;
S_363_0: /* 2 */
		now.count = 0;
#ifdef VAR_RANGES
		logval("count", ((int)now.count));
#endif
		;
S_364_0: /* 2 */
		now.size = 0;
#ifdef VAR_RANGES
		logval("size", ((int)now.size));
#endif
		;
S_365_0: /* 2 */
		now.mask = 0;
#ifdef VAR_RANGES
		logval("mask", ((int)now.mask));
#endif
		;
S_366_0: /* 2 */
		now.allowed = 0;
#ifdef VAR_RANGES
		logval("allowed", ((int)now.allowed));
#endif
		;
		goto S_370_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 37: // STATE 373 - agreement.pml:359 - [-end-] (0:0:0 - 1)
		IfNotBlocked
		reached[0][373] = 1;
		if (!delproc(1, II)) continue;
		_m = 3; goto P999; /* 0 */
	case  _T5:	/* np_ */
		if (!((!(trpt->o_pm&4) && !(trpt->tau&128))))
			continue;
		/* else fall through */
	case  _T2:	/* true */
		_m = 3; goto P999;
#undef rand
	}

